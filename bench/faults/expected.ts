/** What the fakes answer to a caller's own request. */

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

/** Judges a whole chat completion of one user message. */
export function judgeWhole(
  answer: CallerAnswer,
  prompt: string,
  tokens: number
): CallResult {
  return judge(answer, body => {
    const {choices} = COMPLETION.parse(JSON.parse(body));
    return choices[0]?.message.content === answerText(prompt, tokens);
  });
}

/** Judges a stream: every token once and the caller's own, or visibly cut. */
export function judgeStream(
  answer: CallerAnswer,
  prompt: string,
  tokens: number
): CallResult {
  const {body} = answer;
  if (body.includes('event: error') && !body.includes('[DONE]'))
    return {kind: 'broken', detail: 'stream-cut'};
  return judge(
    answer,
    () =>
      isExactStream(body, tokens) &&
      streamText(body) === answerText(prompt, tokens)
  );
}

/** Judges the echo of a path. */
export function judgeRead(answer: CallerAnswer, path: string): CallResult {
  return judge(answer, body => ECHO.parse(JSON.parse(body)).path === path);
}

/** Judges a keyed assignment; its body is kept, since resends get the same. */
export function judgeOnce(
  answer: CallerAnswer,
  key: string,
  box: string
): CallResult {
  const result = judge(answer, body => {
    const assigned = ASSIGNED.parse(JSON.parse(body));
    return assigned.key === key && assigned.accepted.box === box;
  });
  return result.kind === 'whole' ? {...result, body: answer.body} : result;
}

function judge(
  answer: CallerAnswer,
  isOwn: (body: string) => boolean
): CallResult {
  const {status, reason, outcome, body} = answer;
  if (status >= 400) return refusalOf(answer);
  try {
    if (isOwn(body)) return {kind: 'whole'};
  } catch {
    // No such document: judged below.
  }
  const detail = `${status} ${reason} ${outcome}: ${body.slice(-200)}`;
  return {kind: 'wrong', detail};
}

/** An honest refusal names a known reason, and the outcome that goes with it. */
function refusalOf({status, reason, outcome, body}: CallerAnswer): CallResult {
  if (!(reason in REFUSALS)) {
    const detail = `${status} without a reason: ${body.slice(-200)}`;
    return {kind: 'wrong', detail};
  }
  if (outcome !== 'not run' && outcome !== 'outcome unknown')
    return {kind: 'wrong', detail: `${reason} with outcome "${outcome}"`};
  return {kind: 'refused', reason: reason as RefusalReason, outcome};
}

function answerText(prompt: string, tokens: number): string {
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
