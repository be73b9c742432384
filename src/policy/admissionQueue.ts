/**
 * Who waits for a place, and who is turned away at once.
 *
 * The load it answers: bursts of up to twice what the targets can do. A request
 * that waits in line beyond its latency target is served late, and keeps the
 * ones behind it waiting, so that in a long burst every answer is late. Here a
 * request waits only if its turn is expected in time; the others are told at
 * once when to come back, while they can still be served.
 */

/** A request that asks for a place. */
export interface Applicant {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Longest wait that still leaves an answer in time, milliseconds. */
  readonly patienceMs: number;
  /** Called once, with the place taken. */
  start(): void;
  /** Called once instead of `start`. */
  refuse(): void;
}

interface Waiting {
  readonly applicant: Applicant;
  readonly giveUpAtMs: number;
}

/** Weight of one measured stay; about thirty requests follow a change. */
const SMOOTHING = 0.03;
/** Places follow the wishes of nodes with their next report. */
const LENT_WITHIN_MS = 150;
/** Before the first answer: a stream of two dozen events takes about a second. */
const FIRST_STAY_MS = 1_000;

/** Places of one service at one node. Time is given with each call. */
export class AdmissionQueue {
  private waiting: Waiting[] = [];
  private limit = 0;
  private free = 0;
  private running = 0;
  private usualStayMs = FIRST_STAY_MS;

  get inFlight(): number {
    return this.running;
  }

  /** How long a request holds its place, smoothed, milliseconds. */
  get stayMs(): number {
    return this.usualStayMs;
  }

  /** Places that this node has. */
  get places(): number {
    return this.limit;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /**
   * Takes over a new number of places; those in use beyond it run to their end.
   * `free` ones are lent to others that do not use them, and may come here.
   */
  setLimit(limit: number, free = 0): void {
    this.limit = limit;
    this.free = free;
    this.startNext();
  }

  /** Starts, queues or refuses the applicant. */
  enter(applicant: Applicant, nowMs: number): void {
    if (this.running < this.limit && this.waiting.length === 0) {
      this.running++;
      applicant.start();
      return;
    }
    const ahead = this.aheadOf(applicant.priority);
    const waitMs = this.expectedWaitMs(ahead);
    if (waitMs > applicant.patienceMs && !this.mayBeLent(applicant)) {
      applicant.refuse();
      return;
    }
    const giveUpAtMs = nowMs + applicant.patienceMs;
    this.waiting.splice(ahead, 0, {applicant, giveUpAtMs});
  }

  /** Frees a place that was held for a time. */
  leave(heldMs: number): void {
    this.running--;
    this.usualStayMs += (heldMs - this.usualStayMs) * SMOOTHING;
    this.startNext();
  }

  /**
   * Whether a place that others have free can be here in time. Callers reach
   * nodes by chance: one turned them away while others had places to spare.
   */
  private mayBeLent({patienceMs}: Applicant): boolean {
    return this.waiting.length < this.free && patienceMs >= LENT_WITHIN_MS;
  }

  /** Takes a waiting applicant out, because its caller went away. */
  withdraw(applicant: Applicant): void {
    this.waiting = this.waiting.filter(one => one.applicant !== applicant);
  }

  /** Refuses those whose turn did not come in time. */
  expire(nowMs: number): void {
    const late = this.waiting.filter(({giveUpAtMs}) => giveUpAtMs <= nowMs);
    if (late.length === 0) return;
    this.waiting = this.waiting.filter(({giveUpAtMs}) => giveUpAtMs > nowMs);
    for (const {applicant} of late) applicant.refuse();
  }

  private startNext(): void {
    while (this.running < this.limit) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.running++;
      next.applicant.start();
    }
  }

  /** Those that are as urgent and came before, or are more urgent. */
  private aheadOf(priority: number): number {
    const index = this.waiting.findIndex(
      ({applicant}) => applicant.priority > priority
    );
    return index < 0 ? this.waiting.length : index;
  }

  /** A place comes free each `stay / limit` on average. */
  private expectedWaitMs(ahead: number): number {
    const over = Math.max(0, this.running - this.limit);
    return ((ahead + 1 + over) * this.stayMs) / Math.max(1, this.limit);
  }
}
