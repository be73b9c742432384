/** What each role reads from its settings file. Times are milliseconds. */

import type {SettingsRole, SettingsValues} from './sections';

/** `max-body-bytes` in the file is `maxBodyBytes` in the code. */
type CamelCase<S extends string> = S extends `${infer Head}-${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : S;

type CamelKeys<T> = {
  readonly [K in keyof T as K extends string ? CamelCase<K> : never]: T[K];
};

type Sections<T> = {
  readonly [
    K in keyof T as K extends string ? CamelCase<K> : never
  ]: K extends 'customer-keys'
    ? CustomerKeys
    : K extends 'internal'
      ? Omit<CamelKeys<T[K]>, SecretKey> & SharedSecrets
      : CamelKeys<T[K]>;
};

type SecretKey = 'key' | 'keyFile' | 'acceptKey' | 'acceptKeyFile';

/** The secrets themselves, wherever the file keeps them. */
export interface SharedSecrets {
  /** Offered, and accepted. */
  readonly key: string;
  /** Accepted besides, while one key replaces the other. */
  readonly acceptKey?: string;
}

/** Customer by the secret that its callers send. */
export type CustomerKeys = ReadonlyMap<string, string>;

/** Settings of one role. */
export type SettingsOf<R extends SettingsRole> = Sections<SettingsValues<R>>;

/** Settings of an entry. */
export type EntrySettings = SettingsOf<'entry'>;
/** Settings of an agent. */
export type AgentSettings = SettingsOf<'agent'>;
/** Settings of a control instance. */
export type ControlSettings = SettingsOf<'control'>;
/** Settings of a node. */
export type NodeSettings = SettingsOf<'node'>;
/** Settings of the operators' client. */
export type ClientSettings = SettingsOf<'client'>;
