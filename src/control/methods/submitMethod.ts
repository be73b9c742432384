/** Accepts rule files from operators. */

import {createHash} from 'node:crypto';
import type {SubmitAnswer} from '../../core/operatorMessages';
import {SubmitRequest, submitRequest} from '../../rpc/messages';
import type {RpcMethod} from '../../rpc/peerServer';
import {parseRules} from '../../rules/parseRules';
import type {ControlContext} from '../controlContext';
import {proposeCommand} from './leaderCalls';

/** The `submit` method; repeating it is safe. */
export function submitMethod(
  context: ControlContext
): RpcMethod<SubmitRequest, SubmitAnswer> {
  return {params: submitRequest, handle: request => submit(context, request)};
}

async function submit(
  context: ControlContext,
  {text}: SubmitRequest
): Promise<SubmitAnswer> {
  const parsed = parseRules(text);
  if (!parsed.ok) return {kind: 'invalid', problems: parsed.problems};
  const {revision, rules} = parsed.ruleSet;
  const digest = createHash('sha256').update(text).digest('hex');
  const submittedBy =
    rules.find(rule => rule.kind === 'revision')?.askedBy ?? 'unknown';
  const {result} = await proposeCommand(context.log, {
    kind: 'submit',
    revision,
    digest,
    text,
    submittedBy,
  });
  context.logger.info(
    {revision, result: result.kind, submittedBy},
    `rule file revision ${revision} submitted: ${result.kind}`
  );
  return result;
}
