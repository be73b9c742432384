/**
 * Lists the settings of a role, for the table in the operator documentation.
 */

import * as z from 'zod';
import {rangeOf} from '../core/textSchemas';
import {keySchemas, sectionNames} from './readSections';
import type {SettingsRole} from './sections';
import {meaningOf} from './settingSchemas';

/** One key of a settings file. */
export interface SettingDescription {
  readonly section: string;
  readonly key: string;
  /** Value if the key is absent; undefined if it has no default. */
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
  const hasDefault = schema instanceof z.ZodDefault;
  return {
    section,
    key,
    defaultValue: hasDefault ? String(schema.def.defaultValue) : undefined,
    required: !hasDefault && !(schema instanceof z.ZodOptional),
    range: rangeOf(schema),
    meaning: meaningOf(schema),
  };
}

/** Returns all keys of a role, in the order of its sections. */
export function describeSettings(
  role: SettingsRole
): readonly SettingDescription[] {
  return sectionNames(role).flatMap(section =>
    [...keySchemas(role, section)].map(([key, schema]) =>
      describe(section, key, schema)
    )
  );
}
