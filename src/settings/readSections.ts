/** Parses an INI file and validates it against the schema of a role. */

import {parse} from 'ini';
import type {z} from 'zod';
import {suggestion} from '../core/nearestName';
import {rangeOf} from '../core/textSchemas';
import {SECTIONS} from './sections';
import type {SettingsRole, SettingsValues} from './sections';

type RawSection = Readonly<Record<string, unknown>>;

/** The values, or all problems; their texts do not include the file name. */
export type SectionsResult<R extends SettingsRole> =
  | {readonly ok: true; readonly values: SettingsValues<R>}
  | {readonly ok: false; readonly problems: readonly string[]};

/** Sections whose keys are chosen by the operator. */
const FREE_KEY_SECTIONS: ReadonlySet<string> = new Set(['customer-keys']);

function isSection(value: unknown): value is RawSection {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function sectionSchemas(
  role: SettingsRole
): Readonly<Record<string, z.ZodType>> {
  return SECTIONS[role].shape;
}

/**
 * Schemas of a section by key; empty for unknown sections and for those with
 * free keys.
 */
export function keySchemas(
  role: SettingsRole,
  section: string
): ReadonlyMap<string, z.ZodType> {
  const schema = sectionSchemas(role)[section];
  if (schema === undefined || FREE_KEY_SECTIONS.has(section)) return new Map();
  const {shape} = schema as z.ZodObject;
  return new Map(Object.entries(shape as Record<string, z.ZodType>));
}

/** Names of the sections of a role. */
export function sectionNames(role: SettingsRole): readonly string[] {
  return Object.keys(sectionSchemas(role));
}

function findUnknownKeys(
  role: SettingsRole,
  section: string,
  content: RawSection
): readonly string[] {
  if (FREE_KEY_SECTIONS.has(section)) return [];
  const known = [...keySchemas(role, section).keys()];
  return Object.keys(content)
    .filter(key => !known.includes(key))
    .map(key => `[${section}] unknown key "${key}"${suggestion(key, known)}`);
}

function findUnknownNames(
  role: SettingsRole,
  file: RawSection
): readonly string[] {
  const known = sectionNames(role);
  return Object.entries(file).flatMap(([section, content]) => {
    if (!isSection(content))
      return [`"${section}" stands before any [section]`];
    if (known.includes(section)) return findUnknownKeys(role, section, content);
    const hint = suggestion(section, known);
    const sectionList = `; ${role} has ${known.map(name => `[${name}]`).join(' ')}`;
    return [`unknown section [${section}]${hint === '' ? sectionList : hint}`];
  });
}

/**
 * Undoes the conversions of the ini parser, which turns `true` and `null` into
 * values and a repeated key into a list. It counts repetitions over the whole
 * file, so a key that occurs once in each of two sections becomes a list of one
 * item; only lists of two or more items are repetitions within a section.
 */
function asText(value: unknown): unknown {
  if (Array.isArray(value) && value.length === 1) return String(value[0]);
  return Array.isArray(value) || isSection(value) ? value : String(value);
}

function knownTextValues(role: SettingsRole, file: RawSection): RawSection {
  return Object.fromEntries(
    sectionNames(role).map(section => {
      const content = file[section];
      const values = isSection(content) ? content : {};
      const keys = Object.entries(values).filter(
        ([key]) =>
          FREE_KEY_SECTIONS.has(section) || keySchemas(role, section).has(key)
      );
      return [
        section,
        Object.fromEntries(keys.map(([key, value]) => [key, asText(value)])),
      ];
    })
  );
}

function issueText(
  role: SettingsRole,
  file: RawSection,
  issue: z.core.$ZodIssue
): string {
  const [section = '', key = ''] = issue.path.map(String);
  const content = file[section];
  const value = isSection(content) ? content[key] : undefined;
  const keyPath = `[${section}] ${key}`;
  if (Array.isArray(value)) return `${keyPath} is given twice`;
  const schema = keySchemas(role, section).get(key);
  if (value === undefined && schema !== undefined)
    return `${keyPath} is missing; it must be ${rangeOf(schema)}`;
  return `${keyPath} ${issue.message}`;
}

/** Parses and validates the text of a settings file. */
export function readSections<R extends SettingsRole>(
  role: R,
  text: string
): SectionsResult<R> {
  const file = parse(text.replace(/^\uFEFF/, ''), {bracketedArray: false});
  const raw = knownTextValues(role, file);
  const parsed = SECTIONS[role].safeParse(raw);
  const problems = [...findUnknownNames(role, file)];
  if (!parsed.success)
    for (const issue of parsed.error.issues)
      problems.push(issueText(role, raw, issue));
  if (!parsed.success || problems.length > 0) return {ok: false, problems};
  return {ok: true, values: parsed.data as SettingsValues<R>};
}
