/**
 * How many requests a service may run at once, over all nodes.
 *
 * A rank of a group steps with all others, so that each request anywhere slows
 * every stream. A pass lasts a fixed part, whatever runs, and a part that grows
 * with the requests. When the pauses between events come near what callers
 * accept, fewer requests give more answers in time.
 */

import type {SiteService} from '../site/site';
import type {TargetRecord} from '../site/announcement';
import type {ServiceLoad} from './messages';

/**
 * Part of the accepted pause at which the bound begins to shrink: pauses vary
 * by about a fifth around their mean, and the longest one decides.
 */
const PAUSE_ROOM = 0.8;
/** Never below this part of all places: a wrong reading must not stop service. */
const LEAST_PART = 0.4;
/** Weight of one new reading; five readings of 250 ms follow a shift. */
const SMOOTHING = 0.2;
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
}

/** Places by service, smoothed over time. */
export class PlacesEstimate {
  private readonly bounds = new Map<string, number>();

  /** Places of a service now; to be asked once each period of reports. */
  next(input: PlacesInput): number {
    const {service, records} = input;
    const slots = workingSlots(service.name, records);
    if (service.engine === undefined) return slots * (1 + PLAIN_QUEUE);
    const wanted = boundedBy(input, slots);
    const before = Math.min(slots, this.bounds.get(service.name) ?? slots);
    const bound = before + (wanted - before) * SMOOTHING;
    this.bounds.set(service.name, bound);
    return bound;
  }
}

function workingSlots(
  service: string,
  records: readonly TargetRecord[]
): number {
  let slots = 0;
  for (const record of records) {
    if (record.service !== service || record.state !== 'ready') continue;
    if (record.group?.open === false) continue;
    slots += record.slots;
  }
  return slots;
}

/** Requests at which a pass takes no longer than it may. */
function boundedBy(input: PlacesInput, slots: number): number {
  const {service, loads, acceptedPauseMs} = input;
  const {engine} = service;
  const measured = loads.filter(({gapMs}) => gapMs > 0);
  const running = measured.reduce((sum, load) => sum + load.inFlight, 0);
  if (engine === undefined || acceptedPauseMs === 0 || running === 0)
    return slots;
  const gapMs =
    measured.reduce((sum, load) => sum + load.gapMs * load.inFlight, 0) /
    running;
  const aimMs = acceptedPauseMs * PAUSE_ROOM;
  if (gapMs <= aimMs) return slots;
  const fixedMs = engine.stepMs * engine.stepsPerPass;
  const fitting = (running * (aimMs - fixedMs)) / Math.max(1, gapMs - fixedMs);
  return Math.max(slots * LEAST_PART, Math.min(slots, fitting));
}
