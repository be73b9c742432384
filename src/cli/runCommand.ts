/** Argument parsing, output and exit codes shared by the subcommands. */

import {readFileSync} from 'node:fs';
import {pathToFileURL} from 'node:url';
import type {AnyFlags, Result} from 'meow';
import {ConfigError} from '../core/errors';
import {EXIT_CODES} from './exitCodes';

/**
 * Wrong arguments; the message is printed and the process exits with code 2.
 */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'UsageError';
  }
}

/** Prints one line of output. */
export type Print = (line: string) => void;

/** Help text, flags and positional arguments of a subcommand. */
export interface CommandSpec<F extends AnyFlags> {
  readonly help: string;
  readonly flags: F;
  /** Names of the positional arguments; all are required. */
  readonly inputs: readonly string[];
}

/** Parsed and validated arguments. */
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
    // meow only uses the URL to locate the package. A literal import.meta would
    // prevent tests, which run as CommonJS, from loading this file.
    importMeta: {url: pathToFileURL(__filename).href} as ImportMeta,
    argv,
    flags: spec.flags,
    description: false,
    allowUnknownFlags: false,
    autoVersion: false,
    // Without `pkg`, meow searches the disk for a package.json.
    pkg: {name: 'marlpulley'},
  });
  if (cli.input.length !== spec.inputs.length) {
    const expected = spec.inputs.join(' ') || 'no argument without a flag';
    throw new UsageError(`expected ${expected}; see --help`);
  }
  return {inputs: cli.input, flags: cli.flags};
}

function exitCodeOf(err: unknown): number {
  return err instanceof ConfigError || err instanceof UsageError
    ? EXIT_CODES.badInput
    : EXIT_CODES.unavailable;
}

/**
 * Parses the arguments and runs the body; resolves with the exit code. Errors
 * are printed and mapped to an exit code. On unknown flags and `--help`, meow
 * exits the process immediately.
 */
export async function runCommand<F extends AnyFlags>(
  spec: CommandSpec<F>,
  argv: readonly string[],
  body: (args: CommandArguments<F>, print: Print) => Promise<number> | number
): Promise<number> {
  return runReportingErrors(async () =>
    body(await parseArguments(spec, argv), printLine)
  );
}

/**
 * Runs the body; prints an error that it throws and maps it to an exit code.
 */
export async function runReportingErrors(
  body: () => Promise<number>
): Promise<number> {
  try {
    return await body();
  } catch (err) {
    printError(err instanceof Error ? err.message : String(err));
    return exitCodeOf(err);
  }
}

/** Reads a file named on the command line; a failure is a usage error. */
export function readInputFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    const reason = err instanceof Error ? err.message : String(err);
    throw new UsageError(`cannot read ${file}: ${reason}`);
  }
}
