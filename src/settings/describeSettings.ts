/** The settings of a role as a table, for the page for operators. */

import * as z from 'zod';
import {rangeOf} from '../core/textSchemas';
import {keySchemas, sectionNames} from './readSections';
import type {SettingsRole} from './sections';
import {meaningOf} from './settingSchemas';

/** One key of a settings file. */
export interface SettingDescription {
  readonly section: string;
  readonly key: string;
  /** Value when left out; undefined when there is none. */
  readonly defaultValue?: string;
  readonly required: boolean;
  readonly range: string;
  readonly meaning: string;
}

function describe(
  section: string,
  key: string,
  schema: z.ZodType
): SettingDescription {
  const filled = schema instanceof z.ZodDefault;
  return {
    section,
    key,
    defaultValue: filled ? String(schema.def.defaultValue) : undefined,
    required: !filled && !(schema instanceof z.ZodOptional),
    range: rangeOf(schema),
    meaning: meaningOf(schema),
  };
}

/** All keys of a role, in the order of its sections. */
export function describeSettings(
  role: SettingsRole
): readonly SettingDescription[] {
  return sectionNames(role).flatMap(section =>
    [...keySchemas(role, section)].map(([key, schema]) =>
      describe(section, key, schema)
    )
  );
}
