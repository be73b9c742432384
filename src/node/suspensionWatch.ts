/**
 * Tells whether this process stood still. Calls wait in the kernel meanwhile, and are
 * read afterwards as if they had just been sent.
 */

import {Subscription, interval} from 'rxjs';

const TICK_INTERVAL_MS = 100;
/** Shorter than callers wait for a reply before they repeat a call elsewhere. */
const MIN_STANDSTILL_MS = 600;
/** Time in which the calls that waited are read, milliseconds. */
const BACKLOG_MS = 1_000;

/** Clocks of the process. */
export interface ProcessClocks {
  steadyMs(): number;
  /** Time of day, which goes on while the machine is suspended. */
  wallMs(): number;
}

const SYSTEM_CLOCKS: ProcessClocks = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Notes gaps between regular ticks. */
export class SuspensionWatch {
  private readonly subscription = new Subscription();
  private tickedAt: {readonly steadyMs: number; readonly wallMs: number};
  private resumedAtMs = -Infinity;

  constructor(private readonly clocks = SYSTEM_CLOCKS) {
    this.tickedAt = this.now();
    this.subscription.add(
      interval(TICK_INTERVAL_MS).subscribe(() => this.tick())
    );
  }

  /** Whether a call that is read now may have waited while the process stood still. */
  get mayHaveBacklog(): boolean {
    this.tick();
    return this.tickedAt.steadyMs - this.resumedAtMs < BACKLOG_MS;
  }

  close(): void {
    this.subscription.unsubscribe();
  }

  private tick(): void {
    const now = this.now();
    const standstillMs = Math.max(
      now.steadyMs - this.tickedAt.steadyMs,
      now.wallMs - this.tickedAt.wallMs
    );
    this.tickedAt = now;
    if (standstillMs >= MIN_STANDSTILL_MS) this.resumedAtMs = now.steadyMs;
  }

  private now() {
    return {steadyMs: this.clocks.steadyMs(), wallMs: this.clocks.wallMs()};
  }
}
