/**
 * Concurrency limit of one service at one node, with a bounded queue.
 *
 * Pattern: bursts of up to twice the capacity. Requests that wait beyond their
 * latency target are served late and delay those behind them. A request is queued
 * only if its turn is expected in time, and rejected at once otherwise.
 */

/** A request that asks to be admitted. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Longest wait that still leaves an answer in time, milliseconds. */
  readonly maxWaitMs: number;
  /** Called once, when it is admitted. */
  start(): void;
  /** Called once instead of `start`. */
  refuse(): void;
}

interface Waiting {
  readonly request: QueuedRequest;
  readonly expiresAtMs: number;
}

/** EWMA weight of one sample. */
const SERVICE_TIME_EWMA_ALPHA = 0.03;
/** Limits follow demand with the next report of each node. */
const BORROW_WITHIN_MS = 150;
/** Before the first answer. */
const INITIAL_SERVICE_TIME_MS = 1_000;

/** Admits, queues and rejects requests. Time is given with each call. */
export class AdmissionQueue {
  private waiting: Waiting[] = [];
  private limit = 0;
  private free = 0;
  private running = 0;
  private meanServiceTimeMs = INITIAL_SERVICE_TIME_MS;

  get inFlight(): number {
    return this.running;
  }

  /** Smoothed time from admission to the end of a request, milliseconds. */
  get serviceTimeMs(): number {
    return this.meanServiceTimeMs;
  }

  /** Concurrency limit of this node. */
  get places(): number {
    return this.limit;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /**
   * Takes over a new limit; requests beyond it run to their end. `free` is what
   * other nodes do not use of theirs and may be allocated here.
   */
  setLimit(limit: number, free = 0): void {
    this.limit = limit;
    this.free = free;
    this.startNext();
  }

  /** Admits, queues or rejects the request. */
  enter(request: QueuedRequest, nowMs: number): void {
    if (this.running < this.limit && this.waiting.length === 0) {
      this.running++;
      request.start();
      return;
    }
    const ahead = this.aheadOf(request.priority);
    const waitMs = this.expectedWaitMs(ahead);
    if (waitMs > request.maxWaitMs && !this.canBorrow(request)) {
      request.refuse();
      return;
    }
    const expiresAtMs = nowMs + request.maxWaitMs;
    this.waiting.splice(ahead, 0, {request, expiresAtMs});
  }

  /** Notes the end of an admitted request. */
  leave(heldMs: number): void {
    this.running--;
    this.meanServiceTimeMs +=
      (heldMs - this.meanServiceTimeMs) * SERVICE_TIME_EWMA_ALPHA;
    this.startNext();
  }

  /** Whether part of the others' free limit can be allocated here in time. */
  private canBorrow({maxWaitMs}: QueuedRequest): boolean {
    return this.waiting.length < this.free && maxWaitMs >= BORROW_WITHIN_MS;
  }

  /** Removes a queued request whose caller went away. */
  withdraw(request: QueuedRequest): void {
    this.waiting = this.waiting.filter(one => one.request !== request);
  }

  /** Rejects requests that have waited too long. */
  expire(nowMs: number): void {
    const late = this.waiting.filter(({expiresAtMs}) => expiresAtMs <= nowMs);
    if (late.length === 0) return;
    this.waiting = this.waiting.filter(({expiresAtMs}) => expiresAtMs > nowMs);
    for (const {request} of late) request.refuse();
  }

  private startNext(): void {
    while (this.running < this.limit) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.running++;
      next.request.start();
    }
  }

  /** Those that are as urgent and came before, or are more urgent. */
  private aheadOf(priority: number): number {
    const index = this.waiting.findIndex(
      ({request}) => request.priority > priority
    );
    return index < 0 ? this.waiting.length : index;
  }

  /** A request ends each `service time / limit` on average. */
  private expectedWaitMs(ahead: number): number {
    const over = Math.max(0, this.running - this.limit);
    return ((ahead + 1 + over) * this.serviceTimeMs) / Math.max(1, this.limit);
  }
}
