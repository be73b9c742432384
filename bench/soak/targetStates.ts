/**
 * What the targets of the soak state of themselves: rate limits, rests and departures,
 * each for a few seconds at a time.
 */

import type http from 'node:http';
import {
  ECHO_HEADER,
  LEAVING_HEADER,
  NOT_RUN_HEADER,
  RATE_LIMIT_HEADER,
  REST_HEADER,
} from '../../platform/counterpart';
import type {StatementLog} from './statementLog';

const MS_PER_S = 1_000;
/** Requests per second that a target may state, and seconds of rest. */
const RATE_LIMITS = [0, 0.5, 1, 2, 5];
const RESTS_S = [0.7, 1.5, 3];
/** Ranges of the time with and without a statement. */
const STATED_MS = {min: 6_000, max: 12_000};
const FREE_MS = {min: 0, max: 6_000};

/** One request to a target, and the node that forwarded it. */
export interface TargetRequest {
  readonly id: string;
  readonly ip: string;
  readonly res: http.ServerResponse;
}

/** What one target states; `apply` may complete the response. */
export interface TargetState {
  /** Start of the boot that it announces, Unix milliseconds. */
  readonly bornMs: number;
  /** Adds its statement; returns whether the request is to be served. */
  apply(request: TargetRequest): boolean;
  stop(): void;
}

/** Alternates between a time with and a time without a statement. */
class Alternation {
  isOn = false;
  untilMs = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly random: () => number,
    private readonly onChange: () => void
  ) {
    this.scheduleNext();
  }

  pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.random() * items.length)];
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private scheduleNext(): void {
    const {min, max} = this.isOn ? STATED_MS : FREE_MS;
    const lastsMs = min + this.random() * (max - min);
    this.untilMs = performance.now() + lastsMs;
    this.timer = setTimeout(() => {
      this.isOn = !this.isOn;
      this.scheduleNext();
      this.onChange();
    }, lastsMs);
  }
}

/** States nothing. */
export class PlainState implements TargetState {
  readonly bornMs = Date.now();

  apply(): boolean {
    return true;
  }

  stop(): void {}
}

/** States rate limits from time to time. */
export class LimitedState implements TargetState {
  readonly bornMs = Date.now();
  private readonly alternation: Alternation;

  constructor(
    private readonly log: StatementLog,
    random: () => number
  ) {
    this.alternation = new Alternation(random, () => this.begin());
  }

  apply({ip, res}: TargetRequest): boolean {
    const limit = this.log.limits.at(-1);
    if (limit === undefined || !this.alternation.isOn) return true;
    res.setHeader(RATE_LIMIT_HEADER, String(limit.perSecond));
    res.once('finish', () => this.log.told.push({atMs: performance.now(), ip}));
    return true;
  }

  stop(): void {
    this.alternation.stop();
  }

  private begin(): void {
    const {isOn, untilMs} = this.alternation;
    if (!isOn) return;
    const perSecond = this.alternation.pick(RATE_LIMITS) ?? 1;
    this.log.limits.push({fromMs: performance.now(), untilMs, perSecond});
  }
}

/** Turns all requests away from time to time, and asks for rest. */
export class RestingState implements TargetState {
  readonly bornMs = Date.now();
  private readonly alternation: Alternation;

  constructor(
    private readonly log: StatementLog,
    random: () => number
  ) {
    this.alternation = new Alternation(random, () => undefined);
  }

  apply({id, ip, res}: TargetRequest): boolean {
    if (!this.alternation.isOn) return true;
    const seconds = this.alternation.pick(RESTS_S) ?? 1;
    res.writeHead(503, {
      [NOT_RUN_HEADER]: 'full',
      [ECHO_HEADER]: id,
      [REST_HEADER]: String(seconds),
    });
    res.once('finish', () => {
      const atMs = performance.now();
      this.log.rests.push({atMs, ip, untilMs: atMs + seconds * MS_PER_S});
    });
    res.end();
    return false;
  }

  stop(): void {
    this.alternation.stop();
  }
}

/**
 * Leaves from time to time, and then starts again. While it leaves, its announcements
 * still say that it is ready, as late ones do.
 */
export class LeavingState implements TargetState {
  bornMs = Date.now();
  private readonly alternation: Alternation;

  constructor(
    private readonly log: StatementLog,
    random: () => number
  ) {
    this.alternation = new Alternation(random, () => this.change());
  }

  apply({ip, res}: TargetRequest): boolean {
    if (!this.alternation.isOn) return true;
    res.setHeader(LEAVING_HEADER, '1');
    const {bornMs} = this;
    res.once('finish', () => {
      // A response of an earlier boot says nothing of the present one.
      if (bornMs === this.bornMs)
        this.log.departures.push({atMs: performance.now(), ip});
    });
    return true;
  }

  stop(): void {
    this.alternation.stop();
  }

  private change(): void {
    if (this.alternation.isOn) return;
    this.bornMs = Date.now();
    this.log.startsMs.push(performance.now());
  }
}
