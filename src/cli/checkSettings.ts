/**
 * `--check-settings` of the roles: validates the settings file without starting
 * the role.
 */

import {ConfigError} from '../core/errors';
import {loadSettings} from '../settings/loadSettings';
import type {SettingsRole} from '../settings/sections';
import {EXIT_CODES} from './exitCodes';
import type {Print} from './runCommand';

/** Prints "ok" or each problem; returns the exit code. */
export function checkSettings(
  role: SettingsRole,
  file: string,
  print: Print = line => process.stdout.write(`${line}\n`)
): number {
  try {
    loadSettings(role, file);
    print(`${file}: ok for ${role}`);
    return EXIT_CODES.ok;
  } catch (err) {
    if (!(err instanceof ConfigError)) throw err;
    for (const problem of err.problems) print(problem);
    return EXIT_CODES.badInput;
  }
}
