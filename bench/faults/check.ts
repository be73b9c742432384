/** Judges the promises over a history; pure. */

import {leavingRuns, zoneRuns} from './checkNewWork';
import {History, Sent, ofKind} from './history';
import {unexplainedLosses} from './losses';

/** One broken promise. */
export interface Violation {
  readonly promise: PromiseName;
  readonly detail: string;
}

/** Promises that a history can show broken; expert maps are in none. */
export type PromiseName =
  | 'not run'
  | 'at most once'
  | 'cold start'
  | 'zone out'
  | 'leaving target'
  | 'whole answers'
  | 'graceful shutdown'
  | 'never reverts'
  | 'heals';

type Check = (history: History) => readonly string[];

const CHECKS: Readonly<Record<PromiseName, Check>> = {
  'not run': refusedButRan,
  'at most once': ranTwice,
  'cold start': history =>
    ofKind(history, 'fell over').map(
      ({target}) => `${target} got more than it could bear`
    ),
  'zone out': zoneRuns,
  'leaving target': leavingRuns,
  'whole answers': history => [
    ...wrongAnswers(history),
    ...differingAnswers(history),
    ...unexplainedLosses(history, 'steady'),
  ],
  'graceful shutdown': history => [
    ...badExits(history),
    ...unexplainedLosses(history, 'shutdown'),
  ],
  'never reverts': history => [
    ...reverts(history),
    ...twoWinners(history),
    ...lostFiles(history),
  ],
  heals: history =>
    ofKind(history, 'settled').flatMap(({missing}) =>
      missing.map(what => `still wrong after the bound: ${what}`)
    ),
};

/** All violations. */
export function check(history: History): readonly Violation[] {
  const promises = Object.keys(CHECKS) as readonly PromiseName[];
  return promises.flatMap(promise =>
    CHECKS[promise](history).map(detail => ({promise, detail}))
  );
}

/** Sendings by their id. */
function sentById(history: History): ReadonlyMap<string, Sent> {
  return new Map(ofKind(history, 'sent').map(sent => [sent.callId, sent]));
}

function refusedButRan(history: History): readonly string[] {
  const ran = new Map(ofKind(history, 'ran').map(run => [run.callId, run]));
  return ofKind(history, 'answered').flatMap(({callId, result}) => {
    const run = ran.get(callId);
    if (run === undefined || result.kind !== 'refused') return [];
    if (result.outcome !== 'not run') return [];
    return [`${callId} ran at ${run.target}, refused with ${result.reason}`];
  });
}

function ranTwice(history: History): readonly string[] {
  const once = sentById(history);
  const byKey = new Map<string, string[]>();
  for (const {callId, key, target} of ofKind(history, 'ran')) {
    if (key === undefined || once.get(callId)?.call !== 'once') continue;
    byKey.set(key, [...(byKey.get(key) ?? []), `${callId} at ${target}`]);
  }
  return [...byKey]
    .filter(([, runs]) => runs.length > 1)
    .map(
      ([key, runs]) => `${key} ran ${runs.length} times: ${runs.join(', ')}`
    );
}

function wrongAnswers(history: History): readonly string[] {
  return ofKind(history, 'answered').flatMap(({callId, result}) =>
    result.kind === 'wrong' ? [`${callId}: ${result.detail}`] : []
  );
}

/** A resend under a key gets the recorded answer. */
function differingAnswers(history: History): readonly string[] {
  const sent = sentById(history);
  const bodies = new Map<string, string>();
  const found: string[] = [];
  for (const {callId, result} of ofKind(history, 'answered')) {
    const key = sent.get(callId)?.key;
    if (key === undefined || result.kind !== 'whole') continue;
    const known = bodies.get(key) ?? result.body ?? '';
    bodies.set(key, known);
    if (known !== result.body) found.push(`${key} got two different answers`);
  }
  return found;
}

function badExits(history: History): readonly string[] {
  const disturbed = ofKind(history, 'disturbed');
  return ofKind(history, 'left').flatMap(({process, atMs, code}) => {
    const wasKilled = disturbed.some(
      one =>
        one.fault === 'stopped' &&
        one.processes.includes(process) &&
        one.fromMs <= atMs
    );
    return code === 0 || wasKilled ? [] : [`${process} ended with ${code}`];
  });
}

/** Also across restarts: the events of one process go on after them. */
function reverts(history: History): readonly string[] {
  const highest = new Map<string, number>();
  const found: string[] = [];
  const byTime = [...ofKind(history, 'in force')].sort(
    (a, b) => a.atMs - b.atMs
  );
  for (const {process, revision} of byTime) {
    const before = highest.get(process) ?? 0;
    if (revision < before)
      found.push(`${process} went from ${before} to ${revision}`);
    highest.set(process, Math.max(before, revision));
  }
  return found;
}

function twoWinners(history: History): readonly string[] {
  const texts = new Map<number, string>();
  return ofKind(history, 'accepted').flatMap(({revision, text}) => {
    const known = texts.get(revision) ?? text;
    texts.set(revision, known);
    return known === text ? [] : [`two files were accepted as ${revision}`];
  });
}

/** What is in force in the end is the last file that was accepted, or a later. */
function lostFiles(history: History): readonly string[] {
  const accepted = ofKind(history, 'accepted');
  return ofKind(history, 'settled').flatMap(({atMs, revision, text}) => {
    const before = accepted.filter(one => one.atMs <= atMs);
    const last = Math.max(0, ...before.map(one => one.revision));
    if (revision < last) return [`${last} was accepted, ${revision} is held`];
    const differs = before.some(
      one => one.revision === revision && one.text !== text
    );
    return differs ? [`another text is held as ${revision}`] : [];
  });
}
