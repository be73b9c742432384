/** Loads and validates settings; throws a ConfigError with all problems. */

import {readFileSync} from 'node:fs';
import path from 'node:path';
import {ConfigError} from '../core/errors';
import {keyName} from '../core/keyName';
import {rangeOf} from '../core/textSchemas';
import {secret} from './settingSchemas';
import {readSections} from './readSections';
import type {SettingsRole, SettingsValues} from './sections';
import type {
  AgentSettings,
  ClientSettings,
  ControlSettings,
  EntrySettings,
  NodeSettings,
  SettingsOf,
  SharedSecrets,
} from './settings';

type AnyRoleValues = SettingsValues<SettingsRole>;
/** Values of the roles that have an [internal] section with a shared secret. */
type InternalRoleValues = Extract<AnyRoleValues, {internal: unknown}>;

/**
 * Minimum ratio of proof-ms to poll-ms. Below it, a single late poll response
 * would let the proof expire and stop service.
 */
const MIN_POLLS_PER_PROOF = 4;

function errorText(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    throw new ConfigError([`${file}: ${errorText(err)}`]);
  }
}

type SecretName = 'key' | 'accept-key';

function readKeyFile(
  name: SecretName,
  keyFile: string,
  problems: string[]
): string {
  try {
    const text = readFileSync(keyFile, 'utf8').trim();
    if (secret().safeParse(text).success) return text;
    problems.push(`[internal] ${name}-file must hold ${rangeOf(secret())}`);
  } catch (err) {
    problems.push(`[internal] ${name}-file: ${errorText(err)}`);
  }
  return '';
}

/** Reads a shared secret from the settings or from the file that they name. */
function readSecret(
  file: string,
  name: SecretName,
  internal: InternalRoleValues['internal'],
  problems: string[]
): string | undefined {
  const values: Readonly<Partial<Record<string, unknown>>> = internal;
  const text = values[name] as string | undefined;
  const keyFile = values[`${name}-file`] as string | undefined;
  if (text !== undefined && keyFile !== undefined) {
    problems.push(`[internal] give either ${name} or ${name}-file`);
    return undefined;
  }
  if (keyFile === undefined) return text;
  return readKeyFile(name, path.resolve(path.dirname(file), keyFile), problems);
}

function readSecrets(
  file: string,
  internal: InternalRoleValues['internal'],
  problems: string[]
): SharedSecrets {
  const key = readSecret(file, 'key', internal, problems);
  if (key === undefined && problems.length === 0)
    problems.push('[internal] give either key or key-file');
  const acceptKey = readSecret(file, 'accept-key', internal, problems);
  // Servers choose the key by its name, so the two names must differ.
  if (acceptKey !== undefined && keyName(acceptKey) === keyName(key ?? ''))
    problems.push('[internal] accept-key must be another than key');
  return {key: key ?? '', acceptKey};
}

function checkMetricsAddress(values: AnyRoleValues, problems: string[]): void {
  if (!('process' in values)) return;
  const {process} = values;
  const areBothOrNeitherSet =
    (process['metrics-host'] === undefined) ===
    (process['metrics-port'] === undefined);
  if (!areBothOrNeitherSet)
    problems.push('[process] metrics-host and metrics-port go together');
}

function checkProofAge(values: AnyRoleValues, problems: string[]): void {
  if (!('control' in values)) return;
  const {control} = values;
  if (!('proof-ms' in control)) return;
  if (control['proof-ms'] < MIN_POLLS_PER_PROOF * control['poll-ms'])
    problems.push(
      `[control] proof-ms must be ${MIN_POLLS_PER_PROOF} times poll-ms or more`
    );
}

/**
 * Checks that a control instance listens at the address in `instances`, where
 * others connect.
 */
function checkOwnAddress(values: AnyRoleValues, problems: string[]): void {
  if (!('data' in values && 'control' in values)) return;
  const {process, internal, control} = values;
  const own = control.instances.find(item => item.id === process.id);
  if (own === undefined)
    problems.push(`[control] instances do not list "${process.id}", this one`);
  else if (own.host !== process.host || own.port !== internal.port)
    problems.push(
      `[control] instances give "${process.id}" as ${own.host}:${own.port}, [process] and [internal] as ${process.host}:${internal.port}`
    );
}

function camelCase(key: string): string {
  return key.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase());
}

type Section = Readonly<Record<string, unknown>>;

function withCamelCaseKeys(section: Section): Section {
  return Object.fromEntries(
    Object.entries(section).map(([key, value]) => [camelCase(key), value])
  );
}

function sectionValue(
  file: string,
  name: string,
  section: Section,
  secrets: SharedSecrets | undefined
): Section | ReadonlyMap<string, unknown> {
  switch (name) {
    case 'customer-keys':
      return new Map(Object.entries(section));
    case 'data':
      return {folder: path.resolve(path.dirname(file), String(section.folder))};
    case 'internal':
      return section.port === undefined
        ? {...secrets}
        : {port: section.port, ...secrets};
    default:
      return withCamelCaseKeys(section);
  }
}

/** Converts the parsed values to the section and key names of the code. */
function toSettings<R extends SettingsRole>(
  file: string,
  values: AnyRoleValues,
  secrets: SharedSecrets | undefined
): SettingsOf<R> {
  const sections = Object.entries(values).map(([name, section]) => [
    camelCase(name),
    sectionValue(file, name, section as Section, secrets),
  ]);
  return Object.fromEntries(sections) as SettingsOf<R>;
}

/** Loads the settings of a role given by name. */
export function loadSettings<R extends SettingsRole>(
  role: R,
  file: string
): SettingsOf<R> {
  const read = readSections(role, readText(file));
  if (!read.ok)
    throw new ConfigError(read.problems.map(text => `${file}: ${text}`));
  const values: AnyRoleValues = read.values;
  const problems: string[] = [];
  const secrets =
    'internal' in values
      ? readSecrets(file, values.internal, problems)
      : undefined;
  checkMetricsAddress(values, problems);
  checkProofAge(values, problems);
  checkOwnAddress(values, problems);
  if (problems.length > 0)
    throw new ConfigError(problems.map(text => `${file}: ${text}`));
  return toSettings<R>(file, values, secrets);
}

/** Loads the settings of an entry. */
export function loadEntrySettings(file: string): EntrySettings {
  return loadSettings('entry', file);
}

/** Loads the settings of an agent. */
export function loadAgentSettings(file: string): AgentSettings {
  return loadSettings('agent', file);
}

/** Loads the settings of a control instance. */
export function loadControlSettings(file: string): ControlSettings {
  return loadSettings('control', file);
}

/** Loads the settings of the operators' client. */
export function loadClientSettings(file: string): ClientSettings {
  return loadSettings('client', file);
}

/** Loads the settings of a node. */
export function loadNodeSettings(file: string): NodeSettings {
  return loadSettings('node', file);
}
