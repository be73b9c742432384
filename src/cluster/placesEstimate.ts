/**
 * How many requests a service may run at once, over all nodes.
 *
 * A rank of a group steps with all others, so that each request anywhere slows
 * every stream. A pass lasts a fixed part, whatever runs, and a part that grows
 * with the requests and with the skew of the experts' load. More requests than
 * callers' pauses allow after the next shift make all streams late that run at
 * that moment; fewer turn callers away who could be served.
 */

import type {MapOutlook} from '../policy/mapOutlook';
import {EVEN_OUTLOOK, FIRST_MAP_OUTLOOK} from '../policy/mapOutlook';
import {PassCorrection} from '../policy/passCorrection';
import {fixedPassMs, requestPassMs} from '../policy/passLength';
import type {EngineProfile, SiteService} from '../site/site';
import type {StreamGoals} from '../site/streamGoals';
import type {PermitTarget} from '../policy/targetPermits';
import {groupOpenings, isInOpenGroup} from '../site/groupOpenings';
import type {TargetRecord} from '../site/announcement';
import type {ServiceLoad} from './messages';

/**
 * Longest passes, in parts of the accepted pause. Passes that last are kept below
 * it, with room for the copies of a switch. Those after a shift may exceed it: they
 * are so long for a moment only, and a caller that is rejected loses more than
 * one that gets a single event late.
 */
const LASTING_PAUSE_RATIO = 0.94;
const SHIFT_PAUSE_RATIO = 0.96;
/**
 * Passes until the first event: half a one until the next begins, one that reads
 * the prompt, one that writes, and one for the wait in the queue.
 */
const FIRST_EVENT_PASSES = 3.5;
/**
 * Never below this part of all places: where even so few requests have long
 * pauses, a rank is slow, and refusing more of them helps nobody.
 */
const MIN_LIMIT_RATIO = 0.35;
/** Cost of a request of which nothing is known, milliseconds. */
const UNSEEN_MS = 1e-3;
/** With fewer requests the fixed part of a pass drowns what each one adds. */
const MIN_RUNNING = 4;
/** Requests at a plain target beside those in work: its next ones are there. */
const PLAIN_QUEUE = 1;

/** What the estimate rests on. */
export interface PlacesInput {
  readonly service: SiteService;
  readonly records: readonly TargetRecord[];
  /** Of all nodes. */
  readonly loads: readonly ServiceLoad[];
  readonly goals: StreamGoals;
  /** Whether all nodes have told of their loads. */
  readonly isWhole: boolean;
  /** Absent where nobody orders maps. */
  readonly outlook?: MapOutlook;
  readonly nowMs: number;
}

/** Places by service. */
export class PlacesEstimate {
  private readonly corrections = new Map<string, PassCorrection>();

  /** Places of a service now; to be asked once each period of reports. */
  next(input: PlacesInput): number {
    const {service, records} = input;
    const working = workingTargets(service.name, records);
    const slots = working.reduce((sum, {slots}) => sum + slots, 0);
    const {engine} = service;
    if (engine === undefined) return slots * (1 + PLAIN_QUEUE);
    if (input.goals.pauseMs === 0) return slots;
    const bound = this.boundOf(input, engine, working.length);
    return Math.min(slots, Math.max(slots * MIN_LIMIT_RATIO, bound));
  }

  /** Requests at which passes are no longer than callers accept. */
  private boundOf(
    input: PlacesInput,
    engine: EngineProfile,
    ranks: number
  ): number {
    const {service, loads, goals, nowMs} = input;
    const {outlook = unknownOutlook(engine)} = input;
    const costAt = (skew: number) => requestPassMs({engine, ranks, skew});
    const fixedMs = fixedPassMs(engine);
    const correction = this.correctionOf(service.name);
    const running = loads.reduce((sum, load) => sum + load.inFlight, 0);
    const varyingMs = medianPace(loads) - fixedMs;
    const isSeen =
      input.isWhole &&
      running >= MIN_RUNNING &&
      varyingMs > 0 &&
      !outlook.isHeld;
    if (isSeen)
      correction.note(varyingMs / running, costAt(outlook.skew), nowMs);
    const seenMs = isSeen
      ? varyingMs / running
      : correction.factor * costAt(outlook.skew);
    const shiftMs = correction.factor * costAt(outlook.dueSkew);
    const shiftLimitMs = goals.pauseMs * SHIFT_PAUSE_RATIO;
    return Math.min(
      (lastingLimitMs(goals) - fixedMs) / Math.max(seenMs, UNSEEN_MS),
      (shiftLimitMs - fixedMs) / Math.max(shiftMs, UNSEEN_MS)
    );
  }

  private correctionOf(service: string): PassCorrection {
    const known = this.corrections.get(service);
    if (known !== undefined) return known;
    const correction = new PassCorrection();
    this.corrections.set(service, correction);
    return correction;
  }
}

/** After an outage a group forms anew before anybody orders its maps. */
function unknownOutlook({expertSets}: EngineProfile): MapOutlook {
  return expertSets > 0 ? FIRST_MAP_OUTLOOK : EVEN_OUTLOOK;
}

/** Longest pass that keeps both goals for as long as it lasts. */
function lastingLimitMs({pauseMs, firstEventMs}: StreamGoals): number {
  const forPauses = pauseMs * LASTING_PAUSE_RATIO;
  if (firstEventMs === 0) return forPauses;
  return Math.min(forPauses, firstEventMs / FIRST_EVENT_PASSES);
}

/** One node that reads slowly must not stand for the group; 0 when none runs. */
export function medianPace(loads: readonly ServiceLoad[]): number {
  const paces = loads.map(({paceMs}) => paceMs).filter(ms => ms > 0);
  paces.sort((a, b) => a - b);
  return paces[Math.floor(paces.length / 2)] ?? 0;
}

/** Targets of a service and the requests that each takes at once. */
export function permitTargets(
  service: SiteService,
  records: readonly TargetRecord[]
): readonly PermitTarget[] {
  const queued = service.engine === undefined ? 1 + PLAIN_QUEUE : 1;
  return workingTargets(service.name, records).map(
    ({id, slots, availabilityZone}) => ({
      id,
      capacity: slots * queued,
      availabilityZone,
    })
  );
}

function workingTargets(
  service: string,
  records: readonly TargetRecord[]
): readonly TargetRecord[] {
  const openings = groupOpenings(records);
  return records.filter(
    record =>
      record.service === service &&
      record.state === 'ready' &&
      isInOpenGroup(record, openings)
  );
}
