/** Reads an INI file against the sections of a role. */

import {parse} from 'ini';
import type {z} from 'zod';
import {suggestion} from '../core/nearestName';
import {rangeOf} from '../core/textSchemas';
import {SECTIONS} from './sections';
import type {SettingsRole, SettingsValues} from './sections';

type RawSection = Readonly<Record<string, unknown>>;

/** The values, or all that is wrong; a problem does not name the file. */
export type SectionsResult<R extends SettingsRole> =
  | {readonly ok: true; readonly values: SettingsValues<R>}
  | {readonly ok: false; readonly problems: readonly string[]};

/** Sections whose keys the operator chooses. */
const FREE_KEYS: ReadonlySet<string> = new Set(['customer-keys']);

function isSection(value: unknown): value is RawSection {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function shapeOf(role: SettingsRole): Readonly<Record<string, z.ZodType>> {
  return SECTIONS[role].shape;
}

/** Schemas of the keys of one section. */
export function keySchemas(
  role: SettingsRole,
  section: string
): ReadonlyMap<string, z.ZodType> {
  const schema = shapeOf(role)[section];
  if (schema === undefined || FREE_KEYS.has(section)) return new Map();
  const {shape} = schema as z.ZodObject;
  return new Map(Object.entries(shape as Record<string, z.ZodType>));
}

/** Names of the sections of a role. */
export function sectionNames(role: SettingsRole): readonly string[] {
  return Object.keys(shapeOf(role));
}

function unknownKeys(
  role: SettingsRole,
  section: string,
  content: RawSection
): readonly string[] {
  if (FREE_KEYS.has(section)) return [];
  const known = [...keySchemas(role, section).keys()];
  return Object.keys(content)
    .filter(key => !known.includes(key))
    .map(key => `[${section}] unknown key "${key}"${suggestion(key, known)}`);
}

function unknownNames(role: SettingsRole, file: RawSection): readonly string[] {
  const known = sectionNames(role);
  return Object.entries(file).flatMap(([section, content]) => {
    if (!isSection(content))
      return [`"${section}" stands before any [section]`];
    if (known.includes(section)) return unknownKeys(role, section, content);
    const hint = suggestion(section, known);
    const all = `; ${role} has ${known.map(name => `[${name}]`).join(' ')}`;
    return [`unknown section [${section}]${hint === '' ? all : hint}`];
  });
}

/**
 * ini turns `true` and `null` into values, and a key given twice into a list.
 * It counts repeats over the whole file, so that a key that stands once in
 * each of two sections comes as a list of one; only two or more are a repeat.
 */
function asText(value: unknown): unknown {
  if (Array.isArray(value) && value.length === 1) return String(value[0]);
  return Array.isArray(value) || isSection(value) ? value : String(value);
}

function textOnly(role: SettingsRole, file: RawSection): RawSection {
  return Object.fromEntries(
    sectionNames(role).map(section => {
      const content = file[section];
      const known = isSection(content) ? content : {};
      const keys = Object.entries(known).filter(
        ([key]) => FREE_KEYS.has(section) || keySchemas(role, section).has(key)
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
  const place = `[${section}] ${key}`;
  if (Array.isArray(value)) return `${place} is given twice`;
  const schema = keySchemas(role, section).get(key);
  if (value === undefined && schema !== undefined)
    return `${place} is missing; it must be ${rangeOf(schema)}`;
  return `${place} ${issue.message}`;
}

/** Checks the text of a settings file. */
export function readSections<R extends SettingsRole>(
  role: R,
  text: string
): SectionsResult<R> {
  const file = parse(text.replace(/^\uFEFF/, ''), {bracketedArray: false});
  const raw = textOnly(role, file);
  const parsed = SECTIONS[role].safeParse(raw);
  const problems = [...unknownNames(role, file)];
  if (!parsed.success)
    for (const issue of parsed.error.issues)
      problems.push(issueText(role, raw, issue));
  if (!parsed.success || problems.length > 0) return {ok: false, problems};
  return {ok: true, values: parsed.data as SettingsValues<R>};
}
