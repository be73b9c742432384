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
import {EVEN_OUTLOOK} from '../policy/mapOutlook';
import {PassCorrection} from '../policy/passCorrection';
import {fixedPassMs, requestPassMs} from '../policy/passLength';
import type {EngineProfile, SiteService} from '../site/site';
import type {PermitTarget} from '../policy/targetPermits';
import {groupOpenings, isInOpenGroup} from '../site/groupOpenings';
import type {TargetRecord} from '../site/announcement';
import type {ServiceLoad} from './messages';

/**
 * Length of a pass, in parts of the accepted pause, up to which requests are let
 * in. Above one: passes are so long for a moment only, and a caller that is
 * turned away loses more than one that gets a single event late.
 */
const PAUSE_PART = 1.08;
/**
 * Never below this part of all places: where even so few requests have long
 * pauses, a rank is slow, and refusing more of them helps nobody.
 */
const LEAST_PART = 0.35;
/** Cost of a request of which nothing is known, milliseconds. */
const UNSEEN_MS = 1e-3;
/** With fewer requests the fixed part of a pass drowns what each one adds. */
const LEAST_RUNNING = 4;
/** Requests at a plain target beside those in work: its next ones are there. */
const PLAIN_QUEUE = 1;

/** What the estimate rests on. */
export interface PlacesInput {
  readonly service: SiteService;
  readonly records: readonly TargetRecord[];
  /** Of all nodes. */
  readonly loads: readonly ServiceLoad[];
  /** Longest pause that callers accept, milliseconds; 0 when none is set. */
  readonly acceptedPauseMs: number;
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
    if (input.acceptedPauseMs === 0) return slots;
    const bound = this.boundOf(input, engine, working.length);
    return Math.min(slots, Math.max(slots * LEAST_PART, bound));
  }

  /** Requests at which passes are no longer than callers accept. */
  private boundOf(
    input: PlacesInput,
    engine: EngineProfile,
    ranks: number
  ): number {
    const {service, loads, acceptedPauseMs, nowMs} = input;
    const {outlook = EVEN_OUTLOOK} = input;
    const costAt = (skew: number) => requestPassMs({engine, ranks, skew});
    const fixedMs = fixedPassMs(engine);
    const pauseMs = acceptedPauseMs * PAUSE_PART;
    const correction = this.correctionOf(service.name);
    const running = loads.reduce((sum, load) => sum + load.inFlight, 0);
    const varyingMs = medianPace(loads) - fixedMs;
    const isSeen =
      input.isWhole &&
      running >= LEAST_RUNNING &&
      varyingMs > 0 &&
      !outlook.isHeld;
    const seenMs = isSeen ? varyingMs / running : 0;
    if (isSeen) correction.note(seenMs, costAt(outlook.skew), nowMs);
    const shiftMs = correction.factor * costAt(outlook.dueSkew);
    return Math.min(
      (pauseMs - fixedMs) / Math.max(seenMs, UNSEEN_MS),
      (pauseMs - fixedMs) / Math.max(shiftMs, UNSEEN_MS)
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
