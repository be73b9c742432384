/** Finds new work in zones that are out and at targets that are leaving. */

import {Accepted, FaultInterval, History, Ran, eventsOfKind} from './history';

/** Time allowed until new work in the zone stops; `proof-ms` takes 2.5 s of it. */
const MAX_ZONE_OUT_DELAY_MS = 3_000;
/** The gate refuses new work at once; the margin covers signal delivery and a busy machine. */
const MAX_LEAVING_DELAY_MS = 1_000;
/** Time after a thaw within which a process has read what waited in its sockets. */
const THAW_BACKLOG_MS = 1_000;

interface Interval {
  readonly fromMs: number;
  readonly toMs: number;
}

interface ZoneOut extends Interval {
  readonly availabilityZone: string;
}

/** Runs in a zone that began later than the bound after it was taken out. */
export function runsInZonesOut(history: History): readonly string[] {
  const outs = zoneOutIntervals(eventsOfKind(history, 'accepted'));
  const frozen = freezes(history);
  return eventsOfKind(history, 'ran').flatMap(run => {
    const beganMs = beganAtMs(frozen, run);
    const out = outs.find(
      one =>
        one.availabilityZone === run.availabilityZone &&
        beganMs > one.fromMs + MAX_ZONE_OUT_DELAY_MS &&
        beganMs < one.toMs
    );
    if (out === undefined) return [];
    const lateMs = Math.round(beganMs - out.fromMs);
    return [`${run.callId} ran at ${run.target}, ${lateMs} ms after zone out`];
  });
}

/** Runs at targets whose agents are leaving, with the time since SIGTERM. */
export function runDelaysAfterSigterm(
  history: History
): readonly {readonly run: Ran; readonly afterMs: number}[] {
  const frozen = freezes(history);
  const leavings = eventsOfKind(history, 'leaving').map(({process, atMs}) => ({
    target: process.replace(/^agent-/, ''),
    fromMs: signalledAtMs(frozen, process, atMs),
    toMs: nextStartMs(history, process, atMs),
  }));
  return eventsOfKind(history, 'ran').flatMap(run => {
    const beganMs = beganAtMs(frozen, run);
    const leaving = leavings.find(
      ({target, fromMs, toMs}) =>
        target === run.target && beganMs > fromMs && beganMs < toMs
    );
    if (leaving === undefined) return [];
    return [{run, afterMs: beganMs - leaving.fromMs}];
  });
}

/** Runs at a target that began later than the bound after SIGTERM to its agent. */
export function runsAtLeavingTargets(history: History): readonly string[] {
  return runDelaysAfterSigterm(history)
    .filter(({afterMs}) => afterMs > MAX_LEAVING_DELAY_MS)
    .map(
      ({run, afterMs}) =>
        `${run.callId} ran at ${run.target}, ${Math.round(afterMs)} ms after SIGTERM`
    );
}

/**
 * Intervals in which a zone is certainly out: from the acceptance of the
 * revision that takes it out until the revision that brings it back is sent.
 * Revisions in between also list the zone as out.
 */
function zoneOutIntervals(accepted: readonly Accepted[]): readonly ZoneOut[] {
  const byRevision = [...accepted].sort((a, b) => a.revision - b.revision);
  const outSinceMs = new Map<string, number>();
  const outs: ZoneOut[] = [];
  for (const {atMs, sentAtMs, zonesOut} of byRevision) {
    for (const [availabilityZone, fromMs] of outSinceMs) {
      if (zonesOut.includes(availabilityZone)) continue;
      outs.push({availabilityZone, fromMs, toMs: sentAtMs});
      outSinceMs.delete(availabilityZone);
    }
    for (const zone of zonesOut)
      if (!outSinceMs.has(zone)) outSinceMs.set(zone, atMs);
  }
  const stillOut = [...outSinceMs].map(([availabilityZone, fromMs]) => ({
    availabilityZone,
    fromMs,
    toMs: Infinity,
  }));
  return [...outs, ...stillOut];
}

/**
 * Time at which the request reached its target. A frozen target reads what
 * reached its socket before and during the freeze only after the thaw, and
 * records that later time. Such a run counts as begun at the start of the freeze.
 */
function beganAtMs(
  frozen: readonly FaultInterval[],
  {target, atMs}: Ran
): number {
  const freeze = frozen.find(
    ({processes, fromMs, toMs}) =>
      processes.includes(`fake-${target}`) &&
      atMs >= fromMs &&
      atMs <= toMs + THAW_BACKLOG_MS
  );
  return freeze === undefined ? atMs : Math.min(atMs, freeze.fromMs);
}

/** Time at which a process gets a signal: a frozen one gets it at the thaw. */
function signalledAtMs(
  frozen: readonly FaultInterval[],
  process: string,
  atMs: number
): number {
  const freeze = frozen.find(
    ({processes, fromMs, toMs}) =>
      processes.includes(process) && atMs >= fromMs && atMs <= toMs
  );
  return freeze?.toMs ?? atMs;
}

function nextStartMs(history: History, process: string, atMs: number): number {
  const starts = eventsOfKind(history, 'started')
    .filter(one => one.process === process && one.atMs > atMs)
    .map(one => one.atMs);
  return Math.min(Infinity, ...starts);
}

function freezes(history: History): readonly FaultInterval[] {
  return eventsOfKind(history, 'disturbed').filter(
    ({fault}) => fault === 'frozen'
  );
}
