/**
 * Streams that are lost, repeated, cut at any byte and resumed elsewhere, under
 * a seed. Checks that a caller sees every token of one answer once and in
 * order up to its end, or is told that the stream was cut.
 */

import {StreamMachine, StreamNext} from '../../src/entry/chat/streamMachine';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';

const MAX_TOKENS = 30;
const MAX_SOURCES = 40;
const VERSIONS = ['v1', 'v2'];
const DONE_EVENT = 'data: [DONE]\n\n';

/** How a source misbehaves. */
type Fault =
  | 'none'
  | 'cut'
  | 'end early'
  | 'skip'
  | 'start anew'
  | 'error event'
  | 'short answer'
  | 'no ids';

const FAULTS: readonly Fault[] = [
  'none',
  'cut',
  'cut',
  'end early',
  'skip',
  'start anew',
  'error event',
  'short answer',
  'no ids',
];

function tokenEvent(version: string, index: number, total: number): string {
  // Three bytes a character, so that cuts fall within characters too.
  const content = `${version}-${index}-\u20ac\u20ac`;
  const finish_reason = index + 1 === total ? 'stop' : null;
  const choices = [{delta: {content}, finish_reason}];
  const chunk = {system_fingerprint: version, choices};
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

/** Everything that one source sends, before it is cut into chunks. */
function sourceText(
  random: SeededRandom,
  version: string,
  from: number,
  total: number,
  fault: Fault
): string {
  const start = fault === 'start anew' ? random.int(0, from) : from;
  const end = fault === 'short answer' ? random.int(0, total) : total;
  const events = random.chance(0.5)
    ? [`data: {"choices":[{"delta":{"role":"assistant"}}]}\n\n`]
    : [];
  for (let index = start; index < end; index++) {
    if (random.chance(0.1)) events.push(': alive\n\n');
    events.push(tokenEvent(version, index, total));
    // Without ids a repetition cannot be seen, by us or by the caller.
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

/** Feeds one source in chunks; returns what the machine made of it. */
function feed(
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

function relay(random: SeededRandom, from: number, total: number): Outcome {
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
    // What was announced may be out of date, or not known.
    const claimed = random.chance(0.8) ? 'v1' : undefined;
    machine.opened(claimed);
    const fault = random.pick(FAULTS);
    const all = Buffer.from(sourceText(random, version, at, total, fault));
    const bytes =
      fault === 'cut' ? all.subarray(0, random.int(0, all.length)) : all;
    const next = feed(random, machine, bytes, part => (text += part));
    if (next.kind === 'done') return {text, end: 'done'};
    if (next.kind !== 'lost') return {text, end: 'cut'};
    const decision = machine.lost(next.cause);
    if (decision.kind === 'cut') return {text, end: 'cut'};
    at = decision.point.fromToken;
  }
  return {text, end: 'cut'};
}

/** Tokens in the caller's text, as `version-index`. */
function tokensIn(text: string): readonly string[] {
  return [...text.matchAll(/"content":"(v\d-\d+)-\u20ac\u20ac"/g)].map(
    match => match[1] ?? ''
  );
}

function fail(detail: string, outcome: Outcome): never {
  throw new Error(`${detail}; the caller had:\n${outcome.text}`);
}

function check(outcome: Outcome, from: number, total: number): void {
  const tokens = tokensIn(outcome.text);
  const version = tokens[0]?.split('-')[0] ?? 'v1';
  tokens.forEach((token, i) => {
    const due = `${version}-${from + i}`;
    if (token !== due) fail(`${token} where ${due} was due`, outcome);
  });
  const ends = outcome.text.split(DONE_EVENT).length - 1;
  if (outcome.end === 'cut') {
    if (ends > 0) fail('cut, but looks whole', outcome);
    return;
  }
  if (ends !== 1 || !outcome.text.endsWith(DONE_EVENT))
    fail(`whole with ${ends} end events`, outcome);
  if (outcome.text.split('"usage"').length > 2)
    fail('the use was told twice', outcome);
  if (outcome.text.includes('event: error'))
    fail('whole, with an error of a target', outcome);
  checkLength(tokens.length, from, total, outcome);
}

function checkLength(
  seen: number,
  from: number,
  total: number,
  outcome: Outcome
): void {
  // A caller that resumes may have had all tokens but the end; a target that
  // says just that cannot be told from one that forgot the rest.
  if (from > 0 && seen === 0) return;
  if (seen !== total - from)
    fail(`whole with ${seen} tokens of ${total - from}`, outcome);
}

/** Every token once and in order, or an explicit end. */
export const STREAM_MODEL: FuzzModel = {
  name: 'stream',
  run(seed) {
    const random = new SeededRandom(seed);
    const total = random.int(1, MAX_TOKENS);
    const from = random.chance(0.2) ? random.int(0, total) : 0;
    check(relay(random, from, total), from, total);
  },
};
