/** Checks a recorded history against the promises, as a pure function. */

import {runsAtLeavingTargets, runsInZonesOut} from './checkNewWork';
import {History, Sent, eventsOfKind} from './history';
import {unexplainedLosses} from './losses';

/** One violation of a promise. */
export interface Violation {
  readonly promise: PromiseName;
  readonly detail: string;
}

/** Promises that a history can show to be violated; none covers expert maps. */
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
  'not run': runsRefusedAsNotRun,
  'at most once': repeatedRuns,
  'cold start': history =>
    eventsOfKind(history, 'fell over').map(
      ({target}) => `${target} got more than it could bear`
    ),
  'zone out': runsInZonesOut,
  'leaving target': runsAtLeavingTargets,
  'whole answers': history => [
    ...wrongResponses(history),
    ...differingResponses(history),
    ...unexplainedLosses(history, 'steady'),
  ],
  'graceful shutdown': history => [
    ...uncleanExits(history),
    ...unexplainedLosses(history, 'shutdown'),
  ],
  'never reverts': history => [
    ...revertedRevisions(history),
    ...conflictingAcceptances(history),
    ...lostRevisions(history),
  ],
  heals: history =>
    eventsOfKind(history, 'settled').flatMap(({missing}) =>
      missing.map(what => `still wrong after the bound: ${what}`)
    ),
};

/** All violations that the history shows. */
export function findViolations(history: History): readonly Violation[] {
  const promises = Object.keys(CHECKS) as readonly PromiseName[];
  return promises.flatMap(promise =>
    CHECKS[promise](history).map(detail => ({promise, detail}))
  );
}

/** Sent calls by call id. */
function sentById(history: History): ReadonlyMap<string, Sent> {
  return new Map(
    eventsOfKind(history, 'sent').map(sent => [sent.callId, sent])
  );
}

function runsRefusedAsNotRun(history: History): readonly string[] {
  const ran = new Map(
    eventsOfKind(history, 'ran').map(run => [run.callId, run])
  );
  return eventsOfKind(history, 'answered').flatMap(({callId, result}) => {
    const run = ran.get(callId);
    if (run === undefined || result.kind !== 'refused') return [];
    if (result.outcome !== 'not run') return [];
    return [`${callId} ran at ${run.target}, refused with ${result.reason}`];
  });
}

function repeatedRuns(history: History): readonly string[] {
  const sent = sentById(history);
  const byKey = new Map<string, string[]>();
  for (const {callId, key, target} of eventsOfKind(history, 'ran')) {
    if (key === undefined || sent.get(callId)?.call !== 'once') continue;
    byKey.set(key, [...(byKey.get(key) ?? []), `${callId} at ${target}`]);
  }
  return [...byKey]
    .filter(([, runs]) => runs.length > 1)
    .map(
      ([key, runs]) => `${key} ran ${runs.length} times: ${runs.join(', ')}`
    );
}

function wrongResponses(history: History): readonly string[] {
  return eventsOfKind(history, 'answered').flatMap(({callId, result}) =>
    result.kind === 'wrong' ? [`${callId}: ${result.detail}`] : []
  );
}

/** Keys whose resends got different bodies; a resend must get the recorded response. */
function differingResponses(history: History): readonly string[] {
  const sent = sentById(history);
  const bodies = new Map<string, string>();
  const found: string[] = [];
  for (const {callId, result} of eventsOfKind(history, 'answered')) {
    const key = sent.get(callId)?.key;
    if (key === undefined || result.kind !== 'whole') continue;
    const known = bodies.get(key) ?? result.body ?? '';
    bodies.set(key, known);
    if (known !== result.body) found.push(`${key} got two different answers`);
  }
  return found;
}

function uncleanExits(history: History): readonly string[] {
  const disturbed = eventsOfKind(history, 'disturbed');
  return eventsOfKind(history, 'left').flatMap(({process, atMs, code}) => {
    const wasKilled = disturbed.some(
      one =>
        one.fault === 'stopped' &&
        one.processes.includes(process) &&
        one.fromMs <= atMs
    );
    return code === 0 || wasKilled ? [] : [`${process} ended with ${code}`];
  });
}

/** Processes that went back to an older revision, also across their restarts. */
function revertedRevisions(history: History): readonly string[] {
  const highest = new Map<string, number>();
  const found: string[] = [];
  const byTime = [...eventsOfKind(history, 'in force')].sort(
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

function conflictingAcceptances(history: History): readonly string[] {
  const texts = new Map<number, string>();
  return eventsOfKind(history, 'accepted').flatMap(({revision, text}) => {
    const known = texts.get(revision) ?? text;
    texts.set(revision, known);
    return known === text ? [] : [`two files were accepted as ${revision}`];
  });
}

/** The revision held in the end must be the last accepted one or a later one. */
function lostRevisions(history: History): readonly string[] {
  const accepted = eventsOfKind(history, 'accepted');
  return eventsOfKind(history, 'settled').flatMap(({atMs, revision, text}) => {
    const before = accepted.filter(one => one.atMs <= atMs);
    const last = Math.max(0, ...before.map(one => one.revision));
    if (revision < last) return [`${last} was accepted, ${revision} is held`];
    const differs = before.some(
      one => one.revision === revision && one.text !== text
    );
    return differs ? [`another text is held as ${revision}`] : [];
  });
}
