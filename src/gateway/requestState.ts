/** One request on its way through a gateway. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {Cancellation} from '../core/cancellation';
import type {CallerRequest} from '../ports/callerPort';
import type {SiteCustomer, SiteRoute, SiteService} from '../site/site';

/** Why a request is given up before it has an answer. */
export type StopReason = 'callerGone' | 'timedOut';

/** A request, from its head to its end. */
export class RequestState {
  readonly startedAtMs = performance.now();
  readonly cancel = new Cancellation();
  /** Targets that it was sent to, whether it ran there or not. */
  readonly tried = new Set<string>();
  /** Milliseconds from its arrival: a place, the first event, the longest pause. */
  readonly marks = {placeMs: 0, firstEventMs: 0, longestGapMs: 0};
  /** What a refusal rested on, for the log: names and figures. */
  basis: Readonly<Record<string, number>> = {};
  /** Service that refused it for want of capacity, and what bounds that. */
  bound: {readonly service?: string; readonly boundBy?: string} = {};
  /** Whether some target may have run it. */
  mayHaveRun = false;
  private reason: StopReason | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly caller: CallerRequest
  ) {
    res.once('close', () => {
      if (!res.writableFinished) this.stop('callerGone');
      clearTimeout(this.timer);
    });
  }

  /** Why it was given up; undefined while it goes on. */
  get stopped(): StopReason | undefined {
    return this.reason;
  }

  get ageMs(): number {
    return performance.now() - this.startedAtMs;
  }

  /** Ends it when its time is over. */
  limitTo(ms: number): void {
    this.deadlineMs = this.startedAtMs + ms;
    const left = this.deadlineMs - performance.now();
    this.timer = setTimeout(() => this.stop('timedOut'), Math.max(0, left));
  }

  /** Time that is left, milliseconds. */
  get remainingMs(): number {
    return this.deadlineMs - performance.now();
  }

  private deadlineMs = Infinity;

  private stop(reason: StopReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.cancel.cancel();
  }
}

/** Where a request is to go. */
export interface Routed {
  readonly route: SiteRoute;
  readonly service: SiteService;
  readonly customer?: SiteCustomer;
  readonly body: Buffer;
}
