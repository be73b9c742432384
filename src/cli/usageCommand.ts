/** `usage`: shows what each customer has used, for billing. */

import type {CustomerUsage} from '../core/wire';
import {connectControl} from './connectControl';
import {EXIT_CODES} from './exitCodes';
import {runCommand} from './runCommand';
import {formatTable} from './table';

const HELP = `
  Usage
    $ marlpulley usage --settings CLIENT.ini

  Shows requests, generated tokens and time in queues by customer, counted
  since the deployment began. Take the difference of two runs for a period.

  Options
    --settings  settings of the client (required)
    --json      one JSON object in place of a table

  Exit codes
    0  shown
    1  no control instance answered
    2  wrong arguments or settings
`;

function percentOf(part: number, whole: number): string {
  return whole === 0 ? '-' : `${((100 * part) / whole).toFixed(1)}%`;
}

/** Formats the table, by tokens used in descending order. */
export function formatUsage(rows: readonly CustomerUsage[]): readonly string[] {
  const sorted = [...rows].sort(
    (a, b) => b.tokens - a.tokens || b.requests - a.requests
  );
  const tokens = rows.reduce((sum, row) => sum + row.tokens, 0);
  return formatTable(
    ['customer', 'requests', 'tokens', 'of all tokens', 'mean queue'],
    sorted.map(row => [
      row.customer,
      String(row.requests),
      String(row.tokens),
      percentOf(row.tokens, tokens),
      row.requests === 0
        ? '-'
        : `${(row.queueMs / row.requests).toFixed(1)} ms`,
    ])
  );
}

/** Runs `usage`. */
export function runUsage(argv: readonly string[]): Promise<number> {
  const spec = {
    help: HELP,
    flags: {
      settings: {type: 'string', isRequired: true},
      json: {type: 'boolean', default: false},
    },
    inputs: [],
  } as const;
  return runCommand(spec, argv, async ({flags}, print) => {
    const client = connectControl(flags.settings);
    try {
      const {customers} = await client.usage();
      if (flags.json) print(JSON.stringify({customers}));
      else for (const line of formatUsage(customers)) print(line);
      return EXIT_CODES.ok;
    } finally {
      client.close();
    }
  });
}
