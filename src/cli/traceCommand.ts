/**
 * `trace`: prints the lines about one request from the collected logs of all
 * nodes.
 */

import {EXIT_CODES} from './exitCodes';
import {traceRequest} from './requestTrace';
import {UsageError, readInputFile, runReportingErrors} from './runCommand';

const HELP = `
  Usage
    $ marlpulley trace REQUEST-ID FILE...

  Reads collected log files of nodes, in any order, and prints what they say
  about one request in the order of time: its own lines, marked with ">", and
  what nodes came to believe from half a second before it until its end.
  REQUEST-ID is an attempt id, or the digest that all tries of a caller share.

  Exit codes
    0  shown
    1  no line names the request
    2  wrong arguments, or a file that cannot be read
`;

/** Runs `trace`. */
export function runTrace(argv: readonly string[]): Promise<number> {
  return runReportingErrors(async () => {
    if (argv.includes('--help')) {
      process.stdout.write(HELP);
      return EXIT_CODES.ok;
    }
    const [id, ...files] = argv;
    if (id === undefined || files.length === 0)
      throw new UsageError('REQUEST-ID and one FILE at least are needed');
    const texts = files.flatMap(file => readInputFile(file).split('\n'));
    const lines = traceRequest(texts, id);
    for (const {isOwn, text} of lines)
      process.stdout.write(`${isOwn ? '>' : ' '} ${text}\n`);
    return lines.length > 0 ? EXIT_CODES.ok : EXIT_CODES.unavailable;
  });
}
