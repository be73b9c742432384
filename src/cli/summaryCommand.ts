/** `summary`: counts the requests in collected logs by outcome and cause. */

import {UsageError, readInputFile, runReportingErrors} from './runCommand';
import {EXIT_CODES} from './exitCodes';
import {parseLogLine} from './logLine';
import {summarize} from './logSummary';
import {formatTable} from './table';

const HELP = `
  Usage
    $ marlpulley summary FIRST-EVENT-MS PAUSE-MS FILE...

  Reads collected log files of nodes, in any order, and counts the requests by
  service, outcome and what was under way: a restart of a node, a node without
  a leader, a switch of expert maps, or the admission ratio that refused the
  request. An answer is late when its first event or one of its pauses took
  longer than the milliseconds given.

  Exit codes
    0  shown
    1  no line tells of a request
    2  wrong arguments, or a file that cannot be read
`;

/** Runs `summary`. */
export function runSummary(argv: readonly string[]): Promise<number> {
  return runReportingErrors(async () => {
    if (argv.includes('--help')) {
      process.stdout.write(HELP);
      return EXIT_CODES.ok;
    }
    const [firstEventMs, pauseMs] = argv.slice(0, 2).map(Number);
    const files = argv.slice(2);
    if (
      !isDurationMs(firstEventMs) ||
      !isDurationMs(pauseMs) ||
      files.length === 0
    )
      throw new UsageError('FIRST-EVENT-MS, PAUSE-MS and a FILE are needed');
    const lines = files
      .flatMap(file => readInputFile(file).split('\n'))
      .flatMap(text => parseLogLine(text) ?? []);
    const rows = summarize(lines, {firstEventMs, pauseMs});
    const table = formatTable(
      ['REQUESTS', 'SERVICE', 'OUTCOME', 'UNDER WAY'],
      rows.map(({requests, service, outcome, cause}) => [
        String(requests),
        service,
        outcome,
        cause,
      ])
    );
    process.stdout.write(`${table.join('\n')}\n`);
    return rows.length > 0 ? EXIT_CODES.ok : EXIT_CODES.unavailable;
  });
}

function isDurationMs(ms: number | undefined): ms is number {
  return ms !== undefined && Number.isFinite(ms) && ms >= 0;
}
