/**
 * What one target of the soak stated in its responses, and what it got. A node is
 * held to a statement from when it was told; a restart or a freeze of the node since
 * then excuses it.
 */

import type {Violation} from './soakCallers';

/** The users' rule on rate limits: in any window, ratio times the limit and more. */
const WINDOW_MS = 4_000;
const ALLOWED_RATIO = 1.5;
const ALLOWED_EXTRA = 5;
/** The rule holds this long after the limit was stated first. */
const CONTACT_MS = 3_000;
/** A node is held to a statement this long after it was told. */
const TOLD_MS = 500;
/** The users' rule on rests: requests of a node in one, once it was told. */
const ALLOWED_IN_REST = 2;
/** The users' rule on targets that leave: when the last request reaches them. */
const DRAIN_MS = 2_000;
const MS_PER_S = 1_000;

/** A time at which something happened to or through a node. */
export interface NodeEvent {
  readonly atMs: number;
  readonly ip: string;
}

/** A rate limit that was stated for a while. */
export interface LimitSpan {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Requests per second. */
  readonly perSecond: number;
}

/** A rest that the target asked a node for. */
export interface RequestedRest extends NodeEvent {
  readonly untilMs: number;
}

/** Requests to one target, and the statements that it made. */
export class StatementLog {
  readonly arrivals: NodeEvent[] = [];
  readonly limits: LimitSpan[] = [];
  /** Responses with a rate limit. */
  readonly told: NodeEvent[] = [];
  readonly rests: RequestedRest[] = [];
  /** Responses that said that the target leaves, and its starts after that. */
  readonly departures: NodeEvent[] = [];
  readonly startsMs: number[] = [];

  /** Violations; `disturbances` are signals to nodes and their starts. */
  violations(disturbances: readonly NodeEvent[]): readonly Violation[] {
    return [
      ...this.limits.flatMap(limit => this.limitViolation(limit, disturbances)),
      ...this.rests.flatMap(rest => this.restViolation(rest, disturbances)),
      ...this.departures.flatMap(told =>
        this.lateViolation(told, disturbances)
      ),
    ];
  }

  private limitViolation(
    {fromMs, untilMs, perSecond}: LimitSpan,
    disturbances: readonly NodeEvent[]
  ): readonly Violation[] {
    const allowed =
      (perSecond * ALLOWED_RATIO * WINDOW_MS) / MS_PER_S + ALLOWED_EXTRA;
    const counted = this.arrivals.filter(
      arrival =>
        arrival.atMs >= fromMs + CONTACT_MS &&
        arrival.atMs <= untilMs &&
        this.isBound(arrival, fromMs, disturbances)
    );
    const most = Math.max(
      0,
      ...counted.map(first => countFrom(first, counted))
    );
    if (most <= allowed) return [];
    const detail = `${most} requests in 4 s at a limit of ${perSecond} per second`;
    return [{promise: 'rateLimit', detail}];
  }

  private restViolation(
    {atMs, ip, untilMs}: RequestedRest,
    disturbances: readonly NodeEvent[]
  ): readonly Violation[] {
    const isOfNode = (event: NodeEvent, fromMs: number) =>
      event.ip === ip && event.atMs >= fromMs && event.atMs < untilMs;
    if (disturbances.some(event => isOfNode(event, atMs))) return [];
    const count = this.arrivals.filter(arrival =>
      isOfNode(arrival, atMs + TOLD_MS)
    ).length;
    if (count <= ALLOWED_IN_REST) return [];
    const detail = `${count} requests of ${ip} in a rest of ${untilMs - atMs} ms`;
    return [{promise: 'rest', detail}];
  }

  private lateViolation(
    {atMs, ip}: NodeEvent,
    disturbances: readonly NodeEvent[]
  ): readonly Violation[] {
    const nextStartMs = this.startsMs.find(ms => ms > atMs) ?? Infinity;
    const excusedMs =
      disturbances.find(event => event.ip === ip && event.atMs > atMs)?.atMs ??
      Infinity;
    const late = this.arrivals.find(
      arrival =>
        arrival.ip === ip &&
        arrival.atMs > atMs + DRAIN_MS &&
        arrival.atMs < Math.min(nextStartMs, excusedMs)
    );
    if (late === undefined) return [];
    const detail = `a request of ${ip} ${Math.round(late.atMs - atMs)} ms after it was told`;
    return [{promise: 'leaving', detail}];
  }

  /** Whether the node was told since `fromMs`, and undisturbed from then on. */
  private isBound(
    {atMs, ip}: NodeEvent,
    fromMs: number,
    disturbances: readonly NodeEvent[]
  ): boolean {
    const isBetween = (event: NodeEvent, startMs: number, endMs: number) =>
      event.ip === ip && event.atMs >= startMs && event.atMs <= endMs;
    return this.told.some(
      told =>
        isBetween(told, fromMs, atMs - TOLD_MS) &&
        !disturbances.some(event => isBetween(event, told.atMs, atMs))
    );
  }
}

function countFrom(first: NodeEvent, arrivals: readonly NodeEvent[]): number {
  const endMs = first.atMs + WINDOW_MS;
  return arrivals.filter(({atMs}) => atMs >= first.atMs && atMs <= endMs)
    .length;
}
