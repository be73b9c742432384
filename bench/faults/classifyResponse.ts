/** Compares responses with what the fakes send for the caller's own request. */

import {createHash} from 'node:crypto';
import * as z from 'zod';
import {tokenAt} from '../../fakes/engine/expertRouter';
import {REFUSALS, RefusalReason} from '../../src/core/refusal';
import type {CallerAnswer} from '../deployment/callers';
import {isExactStream} from '../deployment/callers';
import type {CallResult} from './history';

const MODEL_VERSION = 'v1';
const CHUNK = z.object({
  choices: z.array(z.object({delta: z.object({content: z.string()})})),
});
const COMPLETION = z.object({
  choices: z.array(z.object({message: z.object({content: z.string()})})),
});
const ASSIGNED = z.object({
  key: z.string(),
  accepted: z.object({box: z.string()}),
});
const ECHO = z.object({path: z.string()});

/** Classifies the response to an unstreamed chat completion of one user message. */
export function classifyCompletion(
  answer: CallerAnswer,
  prompt: string,
  tokens: number
): CallResult {
  return classify(answer, body => {
    const {choices} = COMPLETION.parse(JSON.parse(body));
    return choices[0]?.message.content === expectedText(prompt, tokens);
  });
}

/** Classifies a stream: the caller's own tokens, each once, or a stream that reports its cut. */
export function classifyStream(
  answer: CallerAnswer,
  prompt: string,
  tokens: number
): CallResult {
  const {body} = answer;
  if (body.includes('event: error') && !body.includes('[DONE]'))
    return {kind: 'broken', detail: 'stream-cut'};
  return classify(
    answer,
    () =>
      isExactStream(body, tokens) &&
      streamText(body) === expectedText(prompt, tokens)
  );
}

/** Classifies the response to an echo request, by its path. */
export function classifyRead(answer: CallerAnswer, path: string): CallResult {
  return classify(answer, body => ECHO.parse(JSON.parse(body)).path === path);
}

/** Classifies a keyed assignment; keeps the body, since resends must get the same one. */
export function classifyAssignment(
  answer: CallerAnswer,
  key: string,
  box: string
): CallResult {
  const result = classify(answer, body => {
    const assigned = ASSIGNED.parse(JSON.parse(body));
    return assigned.key === key && assigned.accepted.box === box;
  });
  return result.kind === 'whole' ? {...result, body: answer.body} : result;
}

function classify(
  answer: CallerAnswer,
  isExpected: (body: string) => boolean
): CallResult {
  const {status, reason, outcome, body} = answer;
  if (status >= 400) return refusalOf(answer);
  try {
    if (isExpected(body)) return {kind: 'whole'};
  } catch {
    // Not the expected document: reported below.
  }
  const detail = `${status} ${reason} ${outcome}: ${body.slice(-200)}`;
  return {kind: 'wrong', detail};
}

/** Classifies an error; a valid refusal names a known reason and an outcome. */
function refusalOf({status, reason, outcome, body}: CallerAnswer): CallResult {
  if (!(reason in REFUSALS)) {
    const detail = `${status} without a reason: ${body.slice(-200)}`;
    return {kind: 'wrong', detail};
  }
  if (outcome !== 'not run' && outcome !== 'outcome unknown')
    return {kind: 'wrong', detail: `${reason} with outcome "${outcome}"`};
  return {kind: 'refused', reason: reason as RefusalReason, outcome};
}

function expectedText(prompt: string, tokens: number): string {
  const digest = createHash('sha256').update(`user\n${prompt}`).digest('hex');
  return Array.from({length: tokens}, (_, i) =>
    tokenAt(digest, MODEL_VERSION, i)
  ).join('');
}

function streamText(body: string): string {
  return [...body.matchAll(/^data: (\{.*)$/gm)]
    .map(([, json = '']) => CHUNK.parse(JSON.parse(json)))
    .map(({choices}) => choices[0]?.delta.content ?? '')
    .join('');
}
