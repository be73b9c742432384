/**
 * Types of the settings of each role. Times are in milliseconds unless the name
 * has another unit.
 */

import type {SettingsRole, SettingsValues} from './sections';

/**
 * Converts key names: `max-body-bytes` in the file is `maxBodyBytes` in the
 * code.
 */
type CamelCase<S extends string> = S extends `${infer First}-${infer Rest}`
  ? `${First}${Capitalize<CamelCase<Rest>>}`
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
      ? Omit<CamelKeys<T[K]>, SecretKeyName> & SharedSecrets
      : CamelKeys<T[K]>;
};

type SecretKeyName = 'key' | 'keyFile' | 'acceptKey' | 'acceptKeyFile';

/** The shared secrets, from the settings or from the files that they name. */
export interface SharedSecrets {
  /** Used by clients, and accepted by servers. */
  readonly key: string;
  /** Also accepted by servers, while the secret is being replaced. */
  readonly acceptKey?: string;
}

/** Customers by the secret that their callers send. */
export type CustomerKeys = ReadonlyMap<string, string>;

/** Settings of a role, with names as in the code. */
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
