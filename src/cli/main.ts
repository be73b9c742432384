/**
 * Entry point of the `marlpulley` binary: runs the subcommand named by the
 * first argument.
 */

import {SUBCOMMANDS} from './subcommands';

const HELP = `
  Usage
    $ marlpulley <command> [options]

  Commands
${Object.entries(SUBCOMMANDS)
  .map(([name, command]) => `    ${name.padEnd(10)} ${command.summary}`)
  .join('\n')}

  Run "marlpulley <command> --help" for the options of a command.
`;

async function main(): Promise<number> {
  const [name, ...argv] = process.argv.slice(2);
  const command = name === undefined ? undefined : SUBCOMMANDS[name];
  if (command !== undefined) return command.run(argv);
  const {default: meow} = await import('meow');
  const cli = meow(HELP, {
    importMeta: import.meta,
    argv: name === undefined ? [] : [name],
  });
  process.stderr.write(`unknown command: ${name ?? '(none)'}\n`);
  cli.showHelp(2);
  return 2;
}

main().then(
  code => {
    process.exitCode = code;
  },
  (err: unknown) => {
    process.stderr.write(
      `${err instanceof Error ? err.message : String(err)}\n`
    );
    process.exitCode = 1;
  }
);
