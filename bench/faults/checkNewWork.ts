/** New work where none may go: a zone that is out, a target that leaves. */

import {Accepted, Disturbed, History, Ran, ofKind} from './history';

/** The mark for new work to stop; `proof-ms` is 2.5 s of it. */
const ZONE_BOUND_MS = 3_000;
/** The gate refuses at once; the rest is for the signal and the machine. */
const LEAVING_BOUND_MS = 1_000;
/** What waited in the sockets of a frozen process comes this soon after. */
const THAW_MS = 1_000;

interface Interval {
  readonly fromMs: number;
  readonly toMs: number;
}

interface ZoneOut extends Interval {
  readonly availabilityZone: string;
}

/** Runs in a zone later than the bound after it went out. */
export function zoneRuns(history: History): readonly string[] {
  const outs = zonesOut(ofKind(history, 'accepted'));
  const frozen = freezes(history);
  return ofKind(history, 'ran').flatMap(run => {
    const beganMs = beganAtMs(frozen, run);
    const out = outs.find(
      one =>
        one.availabilityZone === run.availabilityZone &&
        beganMs > one.fromMs + ZONE_BOUND_MS &&
        beganMs < one.toMs
    );
    if (out === undefined) return [];
    const lateMs = Math.round(beganMs - out.fromMs);
    return [`${run.callId} ran at ${run.target}, ${lateMs} ms after zone out`];
  });
}

/** Runs at targets whose agents leave, by time since they were told. */
export function leavingDelaysMs(
  history: History
): readonly {readonly run: Ran; readonly afterMs: number}[] {
  const frozen = freezes(history);
  const leavings = ofKind(history, 'leaving').map(({process, atMs}) => ({
    target: process.replace(/^agent-/, ''),
    fromMs: thawedAtMs(frozen, process, atMs),
    toMs: startedAfter(history, process, atMs),
  }));
  return ofKind(history, 'ran').flatMap(run => {
    const beganMs = beganAtMs(frozen, run);
    const leaving = leavings.find(
      ({target, fromMs, toMs}) =>
        target === run.target && beganMs > fromMs && beganMs < toMs
    );
    if (leaving === undefined) return [];
    return [{run, afterMs: beganMs - leaving.fromMs}];
  });
}

/** Runs at a target later than the bound after its agent was told to end. */
export function leavingRuns(history: History): readonly string[] {
  return leavingDelaysMs(history)
    .filter(({afterMs}) => afterMs > LEAVING_BOUND_MS)
    .map(
      ({run, afterMs}) =>
        `${run.callId} ran at ${run.target}, ${Math.round(afterMs)} ms after SIGTERM`
    );
}

/**
 * From the acceptance that took a zone out to the sending of the file that
 * brings it back: in between it is out whatever was accepted besides.
 */
function zonesOut(accepted: readonly Accepted[]): readonly ZoneOut[] {
  const byRevision = [...accepted].sort((a, b) => a.revision - b.revision);
  const since = new Map<string, number>();
  const outs: ZoneOut[] = [];
  for (const {atMs, sentAtMs, zonesOut} of byRevision) {
    for (const [availabilityZone, fromMs] of since) {
      if (zonesOut.includes(availabilityZone)) continue;
      outs.push({availabilityZone, fromMs, toMs: sentAtMs});
      since.delete(availabilityZone);
    }
    for (const zone of zonesOut) if (!since.has(zone)) since.set(zone, atMs);
  }
  const open = [...since].map(([availabilityZone, fromMs]) => ({
    availabilityZone,
    fromMs,
    toMs: Infinity,
  }));
  return [...outs, ...open];
}

/**
 * When the run was handed to its target. A frozen target reads what reached
 * its socket before and during the freeze only when it wakes; the record then
 * tells of the wake, so it is judged as of the freeze.
 */
function beganAtMs(frozen: readonly Disturbed[], {target, atMs}: Ran): number {
  const freeze = frozen.find(
    ({processes, fromMs, toMs}) =>
      processes.includes(`fake-${target}`) &&
      atMs >= fromMs &&
      atMs <= toMs + THAW_MS
  );
  return freeze === undefined ? atMs : Math.min(atMs, freeze.fromMs);
}

/** A frozen process gets the signal when it wakes. */
function thawedAtMs(
  frozen: readonly Disturbed[],
  process: string,
  atMs: number
): number {
  const freeze = frozen.find(
    ({processes, fromMs, toMs}) =>
      processes.includes(process) && atMs >= fromMs && atMs <= toMs
  );
  return freeze?.toMs ?? atMs;
}

function startedAfter(history: History, process: string, atMs: number): number {
  const starts = ofKind(history, 'started')
    .filter(one => one.process === process && one.atMs > atMs)
    .map(one => one.atMs);
  return Math.min(Infinity, ...starts);
}

function freezes(history: History): readonly Disturbed[] {
  return ofKind(history, 'disturbed').filter(({fault}) => fault === 'frozen');
}
