/**
 * Streams that are lost, duplicated, cut at any byte and resumed at another
 * target, under seeded schedules. Checks that a caller receives every token of
 * one response once and in order to its end, or is told that the stream was cut.
 */

import {StreamMachine, StreamNext} from '../../src/entry/chat/streamMachine';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';

const MAX_TOKENS = 30;
const MAX_SOURCES = 40;
const VERSIONS = ['v1', 'v2'];
const DONE_EVENT = 'data: [DONE]\n\n';

/** Fault of one source, which is one connection to a target. */
type Fault =
  | 'none'
  | 'cut'
  | 'end early'
  | 'skip'
  | 'start too early'
  | 'error event'
  | 'short response'
  | 'no ids';

const FAULTS: readonly Fault[] = [
  'none',
  'cut',
  'cut',
  'end early',
  'skip',
  'start too early',
  'error event',
  'short response',
  'no ids',
];

function tokenEvent(version: string, index: number, total: number): string {
  // Characters of three bytes, so that some cuts fall inside a character.
  const content = `${version}-${index}-\u20ac\u20ac`;
  const finish_reason = index + 1 === total ? 'stop' : null;
  const choices = [{delta: {content}, finish_reason}];
  const chunk = {system_fingerprint: version, choices};
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/** All that one source sends, before it is split into chunks. */
function sourceText(
  random: SeededRandom,
  version: string,
  from: number,
  total: number,
  fault: Fault
): string {
  const start = fault === 'start too early' ? random.int(0, from) : from;
  const end = fault === 'short response' ? random.int(0, total) : total;
  const events = random.chance(0.5)
    ? [`data: {"choices":[{"delta":{"role":"assistant"}}]}\n\n`]
    : [];
  for (let index = start; index < end; index++) {
    if (random.chance(0.1)) events.push(': alive\n\n');
    events.push(tokenEvent(version, index, total));
    // Without ids neither the machine nor the caller can detect a duplicate.
    if (fault !== 'no ids' && random.chance(0.1))
      events.push(tokenEvent(version, index, total));
  }
  if (fault === 'skip')
    events.splice(random.int(0, events.length), random.int(1, 3));
  if (fault === 'error event')
    events.splice(random.int(0, events.length), 0, 'event: error\ndata: x\n\n');
  if (random.chance(0.5)) events.push('data: {"usage":{"total":1}}\n\n');
  if (fault !== 'end early') events.push(DONE_EVENT);
  const text = events.join('');
  return fault === 'no ids' ? text.replace(/^id: \d+\n/gm, '') : text;
}

/** Feeds a source to the machine in chunks; returns its last decision. */
function feedChunks(
  random: SeededRandom,
  machine: StreamMachine,
  bytes: Buffer,
  deliver: (text: string) => void
): StreamNext {
  for (let at = 0; at < bytes.length;) {
    const size = random.int(1, 200);
    const step = machine.chunk(bytes.subarray(at, at + size));
    deliver(step.text);
    if (step.next.kind !== 'continue') return step.next;
    at += size;
  }
  return {kind: 'lost', cause: 'connection lost'};
}

interface Outcome {
  readonly text: string;
  readonly end: 'done' | 'cut';
}

function simulateRelay(
  random: SeededRandom,
  from: number,
  total: number
): Outcome {
  const machine = new StreamMachine({
    fromToken: from,
    modelVersion: from > 0 ? 'v1' : undefined,
    maxLosses: 3,
    maxEventChars: 10_000,
  });
  let text = '';
  let at = from;
  for (let source = 0; source < MAX_SOURCES; source++) {
    const version = random.chance(0.9) ? 'v1' : random.pick(VERSIONS);
    // The announced version may be outdated or unknown.
    const announcedVersion = random.chance(0.8) ? 'v1' : undefined;
    machine.opened(announcedVersion);
    const fault = random.pick(FAULTS);
    const sourceBytes = Buffer.from(
      sourceText(random, version, at, total, fault)
    );
    const bytes =
      fault === 'cut'
        ? sourceBytes.subarray(0, random.int(0, sourceBytes.length))
        : sourceBytes;
    const next = feedChunks(random, machine, bytes, part => (text += part));
    if (next.kind === 'done') return {text, end: 'done'};
    if (next.kind !== 'lost') return {text, end: 'cut'};
    const decision = machine.lost(next.cause);
    if (decision.kind === 'cut') return {text, end: 'cut'};
    at = decision.point.fromToken;
  }
  return {text, end: 'cut'};
}

/** Tokens that the caller received, as `version-index`. */
function tokensIn(text: string): readonly string[] {
  return [...text.matchAll(/"content":"(v\d-\d+)-\u20ac\u20ac"/g)].map(
    match => match[1] ?? ''
  );
}

function fail(detail: string, outcome: Outcome): never {
  throw new Error(`${detail}; the caller received:\n${outcome.text}`);
}

function checkOutcome(outcome: Outcome, from: number, total: number): void {
  const tokens = tokensIn(outcome.text);
  const version = tokens[0]?.split('-')[0] ?? 'v1';
  tokens.forEach((token, i) => {
    const expected = `${version}-${from + i}`;
    if (token !== expected)
      fail(`received ${token} instead of ${expected}`, outcome);
  });
  const doneEvents = outcome.text.split(DONE_EVENT).length - 1;
  if (outcome.end === 'cut') {
    if (doneEvents > 0) fail('a cut stream has an end event', outcome);
    return;
  }
  if (doneEvents !== 1 || !outcome.text.endsWith(DONE_EVENT))
    fail(
      `a complete stream has ${doneEvents} end events or does not stop at the first`,
      outcome
    );
  if (outcome.text.split('"usage"').length > 2)
    fail('the token usage was sent twice', outcome);
  if (outcome.text.includes('event: error'))
    fail('a complete stream contains an error event of a target', outcome);
  checkLength(tokens.length, from, total, outcome);
}

function checkLength(
  tokenCount: number,
  from: number,
  total: number,
  outcome: Outcome
): void {
  // A caller that resumes may lack nothing but the end event. A target that
  // sends just that looks the same as one that lost the remaining tokens.
  if (from > 0 && tokenCount === 0) return;
  if (tokenCount !== total - from)
    fail(
      `a complete stream has ${tokenCount} tokens instead of ${total - from}`,
      outcome
    );
}

/** Checks that streams deliver each token once and in order, or report a cut. */
export const STREAM_MODEL: FuzzModel = {
  name: 'stream',
  run(seed) {
    const random = new SeededRandom(seed);
    const total = random.int(1, MAX_TOKENS);
    const from = random.chance(0.2) ? random.int(0, total) : 0;
    checkOutcome(simulateRelay(random, from, total), from, total);
  },
};
