/** `explain`: shows how a request is routed, and why. */

import type {Announcement} from '../core/wire';
import {parseRules} from '../rules/parseRules';
import type {RuleSet} from '../rules/rule';
import {RuleIndex} from '../rules/ruleIndex';
import {checkRules} from './checkCommand';
import {connectControl} from './connectControl';
import type {ClusterStatus} from './controlClient';
import {EXIT_CODES} from './exitCodes';
import {explainRequest} from './explainRequest';
import {runCommand, UsageError} from './runCommand';

const HELP = `
  Usage
    $ marlpulley explain --customer C --path P --settings CLIENT.ini
    $ marlpulley explain --customer C --path P --file RULES

  Shows which lines of the rule file send a request where, which targets may
  take it now, or which refusal it would get and why.

  Options
    --customer  who sends the request (required)
    --path      its path (required)
    --method    its method (default: POST)
    --settings  settings of the client: explains by the rules in force
    --file      explains by this file; with --settings, for the targets of now

  Exit codes
    0  shown
    1  no control instance answered
    2  wrong arguments, settings or file
`;

function parseActiveRules({revision, rulesText}: ClusterStatus): RuleSet {
  if (revision === 0)
    throw new UsageError('no rule file has been accepted yet');
  const result = parseRules(rulesText);
  if (result.ok) return result.ruleSet;
  throw new UsageError(
    `revision ${revision} cannot be read by this version of marlpulley`
  );
}

/** The rules to explain by and, if known, the current targets. */
interface ExplainSource {
  readonly ruleSet: RuleSet;
  readonly targets?: readonly Announcement[];
}

async function fetchSource(
  settings: string,
  ruleSet: RuleSet | undefined
): Promise<ExplainSource> {
  const client = connectControl(settings);
  try {
    const status = await client.status();
    return {
      ruleSet: ruleSet ?? parseActiveRules(status),
      targets: status.targets,
    };
  } finally {
    client.close();
  }
}

/** Runs `explain`. */
export function runExplain(argv: readonly string[]): Promise<number> {
  const spec = {
    help: HELP,
    flags: {
      customer: {type: 'string', isRequired: true},
      path: {type: 'string', isRequired: true},
      method: {type: 'string', default: 'POST'},
      settings: {type: 'string'},
      file: {type: 'string'},
    },
    inputs: [],
  } as const;
  return runCommand(spec, argv, async ({flags}, print) => {
    const {settings, file} = flags;
    if (settings === undefined && file === undefined)
      throw new UsageError('give --settings or --file; see --help');
    const ruleSet = file === undefined ? undefined : checkRules(file, print);
    if (file !== undefined && ruleSet === undefined) return EXIT_CODES.badInput;
    const source =
      settings === undefined
        ? {ruleSet, targets: undefined}
        : await fetchSource(settings, ruleSet);
    if (source.ruleSet === undefined) return EXIT_CODES.badInput;
    const index = new RuleIndex(source.ruleSet);
    const {lines} = explainRequest(index, source.targets, flags);
    for (const line of lines) print(line);
    return EXIT_CODES.ok;
  });
}
