/**
 * Concurrency limit of one service at one node, with a bounded queue.
 *
 * Bursts reach up to twice the capacity. A request that waits beyond its latency
 * target is served late and delays those behind it. Therefore a request is queued
 * only if it is expected to start in time, and is refused at once otherwise.
 */

import type {Urgency, UrgencyKey} from './urgency';
import {compareUrgency, urgencyKey} from './urgency';

/** A request to admit, queue or refuse. */
export interface QueuedRequest {
  readonly urgency: Urgency;
  /** Whether it returns as told after a refusal; goes before others of its urgency. */
  readonly isReturning?: boolean;
  /**
   * Queued requests up to which it may wait for slots of other nodes, even if the
   * leader knows of none that are unused; 0 if absent.
   */
  readonly borrowLimit?: number;
  /** Longest wait after which the response is still in time, milliseconds. */
  readonly maxWaitMs: number;
  /** Called once, when the request is admitted. */
  start(): void;
  /** Called once instead of `start`, when the request is refused or expires. */
  refuse(): void;
}

interface Waiting {
  readonly request: QueuedRequest;
  readonly expiresAtMs: number;
}

/** Weight of one sample in the moving average of the service time. */
const SERVICE_TIME_EWMA_ALPHA = 0.03;
/**
 * The same for the measured time, of which the leader takes the mean over all nodes.
 * After a slow time it must fall within seconds, or the leader refuses requests for
 * which targets have long had free slots.
 */
const MEASURED_TIME_EWMA_ALPHA = 0.15;
/**
 * A request that can wait at least this long may be queued for slots that other
 * nodes leave unused: the leader moves them here after the next report of this
 * node.
 */
const MIN_BORROW_WAIT_MS = 150;
const MS_PER_S = 1_000;
/** Assumed service time before the first request has ended. */
const INITIAL_SERVICE_TIME_MS = 1_000;

/** Admits, queues and refuses requests. Each call passes the current time. */
export class AdmissionQueue {
  private waiting: Waiting[] = [];
  private limit = 0;
  private free = 0;
  private running = 0;
  private meanServiceTimeMs = INITIAL_SERVICE_TIME_MS;
  private measuredTimeMs = INITIAL_SERVICE_TIME_MS;
  private ended = 0;

  get inFlight(): number {
    return this.running;
  }

  /** Moving average of the time from admission to end, milliseconds. */
  get serviceTimeMs(): number {
    return this.meanServiceTimeMs;
  }

  /**
   * Mean service time of the requests that ended, as a moving average once there are
   * enough. `serviceTimeMs` still shows its initial value after dozens of requests, for
   * which a node with few slots takes many seconds.
   */
  get measuredServiceTimeMs(): number {
    return this.measuredTimeMs;
  }

  /** Concurrency limit of this node. */
  get concurrencyLimit(): number {
    return this.limit;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Slots that become free per second. */
  get freedPerSecond(): number {
    return (this.limit * MS_PER_S) / Math.max(1, this.measuredTimeMs);
  }

  /** Number of queued requests of each urgency that has any. */
  waitingByUrgency(): Record<UrgencyKey, number> {
    const counts: Record<UrgencyKey, number> = {};
    for (const {request} of this.waiting) {
      const key = urgencyKey(request.urgency);
      counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
  }

  /**
   * Applies a new limit; running requests beyond it are not aborted. `free` is the
   * number of slots that other nodes leave unused and that may be granted here.
   */
  setLimit(limit: number, free = 0): void {
    this.limit = limit;
    this.free = free;
    this.startNext();
  }

  /** Admits, queues or refuses the request. */
  enter(request: QueuedRequest, nowMs: number): void {
    if (this.running < this.limit && this.waiting.length === 0) {
      this.running++;
      request.start();
      return;
    }
    const ahead = this.countAhead(request);
    const waitMs = this.expectedWaitMs(ahead);
    if (waitMs > request.maxWaitMs && !this.canBorrow(request)) {
      request.refuse();
      return;
    }
    const expiresAtMs = nowMs + request.maxWaitMs;
    this.waiting.splice(ahead, 0, {request, expiresAtMs});
  }

  /** Records the end of an admitted request and starts the next one. */
  leave(heldMs: number): void {
    this.running--;
    this.meanServiceTimeMs +=
      (heldMs - this.meanServiceTimeMs) * SERVICE_TIME_EWMA_ALPHA;
    this.ended++;
    this.measuredTimeMs +=
      (heldMs - this.measuredTimeMs) *
      Math.max(MEASURED_TIME_EWMA_ALPHA, 1 / this.ended);
    this.startNext();
  }

  /** Whether a slot that another node leaves unused can be granted in time. */
  private canBorrow({maxWaitMs, borrowLimit = 0}: QueuedRequest): boolean {
    const limit = Math.max(this.free, borrowLimit);
    return this.waiting.length < limit && maxWaitMs >= MIN_BORROW_WAIT_MS;
  }

  /** Removes a queued request whose caller has disconnected. */
  withdraw(request: QueuedRequest): void {
    this.waiting = this.waiting.filter(one => one.request !== request);
  }

  /** Refuses requests that have waited longer than their `maxWaitMs`. */
  expire(nowMs: number): void {
    const expired = this.waiting.filter(
      ({expiresAtMs}) => expiresAtMs <= nowMs
    );
    if (expired.length === 0) return;
    this.waiting = this.waiting.filter(({expiresAtMs}) => expiresAtMs > nowMs);
    for (const {request} of expired) request.refuse();
  }

  private startNext(): void {
    while (this.running < this.limit) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.running++;
      next.request.start();
    }
  }

  /** Number of queued requests that go before it. */
  private countAhead(added: QueuedRequest): number {
    const index = this.waiting.findIndex(
      ({request}) => compareOrder(request, added) > 0
    );
    return index < 0 ? this.waiting.length : index;
  }

  /** On average one request ends every `serviceTimeMs / limit` milliseconds. */
  private expectedWaitMs(ahead: number): number {
    const extra = Math.max(0, this.running - this.limit);
    return ((ahead + 1 + extra) * this.serviceTimeMs) / Math.max(1, this.limit);
  }
}

/** Positive if `b` goes before `a` although it came later. */
function compareOrder(a: QueuedRequest, b: QueuedRequest): number {
  const byUrgency = compareUrgency(a.urgency, b.urgency);
  if (byUrgency !== 0) return byUrgency;
  return Number(b.isReturning === true) - Number(a.isReturning === true);
}
