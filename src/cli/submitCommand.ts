/**
 * `submit`: submits a rule file to the control instances and follows its
 * rollout.
 */

import {unreachable} from '../core/errors';
import type {SubmitAnswer, SubmitResult} from '../core/operatorMessages';
import {formatProblem} from '../rules/ruleProblem';
import {checkRules} from './checkCommand';
import {connectControl} from './connectControl';
import type {ControlClient} from './controlClient';
import {ControlUnavailableError} from './controlClient';
import {EXIT_CODES} from './exitCodes';
import {followRollout} from './followRollout';
import {runCommand, UsageError} from './runCommand';
import type {Print} from './runCommand';

const HELP = `
  Usage
    $ marlpulley submit FILE --settings CLIENT.ini

  Submits a rule file whose revision is one more than the revision in force,
  in the name of whoever its revision line says asked for it,
  then shows where it is in force. A resend of the same file changes nothing
  and gives the answer of the first, so submit again whenever in doubt.

  Options
    --settings  settings of the client (required)
    --wait-ms   longest wait until it is in force everywhere (default: 10000)

  Exit codes
    0  accepted and in force everywhere
    1  no control instance answered
    2  the file or the settings have faults; nothing was sent
    3  not accepted: conflict, superseded or gap
    4  accepted, but not seen in force everywhere in time
`;

/** Describes the result of a submission to the operator. */
export function describeSubmit(result: SubmitResult): string {
  const {revision} = result;
  switch (result.kind) {
    case 'accepted':
      return result.resent
        ? `already accepted as revision ${revision}; the same file was sent before, nothing was changed`
        : `accepted as revision ${revision}`;
    case 'superseded':
      return `superseded: revision ${revision} has been followed by others up to ${result.current}; nothing was changed. To bring it back, number it ${result.current + 1} and submit it`;
    case 'conflict':
      return `conflict: revision ${revision} was taken by another file, submitted by ${result.winner}; nothing was changed. Merge your change into the file in force (revision ${result.current}, shown by status --rules), number it ${result.current + 1} and submit it`;
    case 'gap':
      return `gap: revision ${revision} cannot follow ${result.current}, which is in force; nothing was changed. Number the file ${result.current + 1} if it was made from revision ${result.current}`;
    default:
      return unreachable(result);
  }
}

function describeUnavailable(err: ControlUnavailableError): string {
  const advice = err.mayHaveTakenEffect
    ? 'the file may have been accepted; submit the same file again to learn it, a resend never applies twice'
    : 'nothing was sent';
  return `${err.message}\n${advice}`;
}

function printAnswer(answer: SubmitAnswer, print: Print): number {
  if (answer.kind === 'invalid') {
    for (const problem of answer.problems)
      print(formatProblem('file', problem));
    print('the control instances refuse the file; nothing was applied');
    return EXIT_CODES.badInput;
  }
  print(describeSubmit(answer));
  return answer.kind === 'accepted' ? EXIT_CODES.ok : EXIT_CODES.refused;
}

/**
 * Submits a validated rule file and follows its rollout; resolves with the exit
 * code.
 */
export async function submitAndFollow(
  client: ControlClient,
  text: string,
  waitMs: number,
  print: Print
): Promise<number> {
  try {
    const answer = await client.submit(text);
    const code = printAnswer(answer, print);
    if (answer.kind !== 'accepted') return code;
    const {revision} = answer;
    const everywhere = await followRollout(client, revision, waitMs, print);
    return everywhere ? EXIT_CODES.ok : EXIT_CODES.notActiveEverywhere;
  } catch (err) {
    if (!(err instanceof ControlUnavailableError)) throw err;
    print(describeUnavailable(err));
    return EXIT_CODES.unavailable;
  }
}

/** Runs `submit`. */
export function runSubmit(argv: readonly string[]): Promise<number> {
  const spec = {
    help: HELP,
    flags: {
      settings: {type: 'string', isRequired: true},
      waitMs: {type: 'number', default: 10_000},
    },
    inputs: ['FILE'],
  } as const;
  return runCommand(spec, argv, async ({inputs: [file = ''], flags}, print) => {
    const ruleSet = checkRules(file, print);
    if (ruleSet === undefined) return EXIT_CODES.badInput;
    if (!(flags.waitMs >= 0))
      throw new UsageError('--wait-ms must be 0 or more');
    const client = connectControl(flags.settings);
    try {
      return await submitAndFollow(client, ruleSet.text, flags.waitMs, print);
    } finally {
      client.close();
    }
  });
}
