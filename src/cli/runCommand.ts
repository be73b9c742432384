/** What all subcommands of the operators' client share. */

import {readFileSync} from 'node:fs';
import {pathToFileURL} from 'node:url';
import type {AnyFlags, Result} from 'meow';
import {ConfigError} from '../core/errors';
import {EXIT_CODES} from './exitCodes';

/** Wrong arguments; the message goes to the operator with exit code 2. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'UsageError';
  }
}

/** Writes one line of the answer. */
export type Print = (line: string) => void;

/** What a subcommand accepts. */
export interface CommandSpec<F extends AnyFlags> {
  readonly help: string;
  readonly flags: F;
  /** Names of the arguments without a flag, all required. */
  readonly inputs: readonly string[];
}

/** The checked arguments of one run. */
export interface CommandArguments<F extends AnyFlags> {
  readonly inputs: readonly string[];
  readonly flags: Result<F>['flags'];
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

async function parseArguments<F extends AnyFlags>(
  spec: CommandSpec<F>,
  argv: readonly string[]
): Promise<CommandArguments<F>> {
  const {default: meow} = await import('meow');
  const cli = meow(spec.help, {
    // Only asked where the package is; import.meta would keep tests, which
    // run as CommonJS, from loading this file.
    importMeta: {url: pathToFileURL(__filename).href} as ImportMeta,
    argv,
    flags: spec.flags,
    description: false,
    allowUnknownFlags: false,
    autoVersion: false,
    // Without this meow searches the disk for a package.json.
    pkg: {name: 'marlpulley'},
  });
  if (cli.input.length !== spec.inputs.length) {
    const wanted = spec.inputs.join(' ') || 'no argument without a flag';
    throw new UsageError(`expected ${wanted}; see --help`);
  }
  return {inputs: cli.input, flags: cli.flags};
}

function exitCodeOf(err: unknown): number {
  return err instanceof ConfigError || err instanceof UsageError
    ? EXIT_CODES.badInput
    : EXIT_CODES.unavailable;
}

/**
 * Parses the arguments, runs the body and turns what it throws into a message
 * and an exit code. Unknown flags and `--help` end the process at once.
 */
export async function runCommand<F extends AnyFlags>(
  spec: CommandSpec<F>,
  argv: readonly string[],
  body: (args: CommandArguments<F>, print: Print) => Promise<number> | number
): Promise<number> {
  return runBody(async () => body(await parseArguments(spec, argv), printLine));
}

/** Turns what the body throws into a message and an exit code. */
export async function runBody(body: () => Promise<number>): Promise<number> {
  try {
    return await body();
  } catch (err) {
    printError(err instanceof Error ? err.message : String(err));
    return exitCodeOf(err);
  }
}

/** Text of a file that the operator named. */
export function readInput(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    throw new UsageError(`cannot read ${file}: ${reason}`);
  }
}
