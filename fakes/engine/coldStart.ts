/** Capacity of an engine while it warms up, and the temperature that it reports. */

import type {EngineConfig} from './engineConfig';

/** Warms up only while requests run; capacity grows linearly over `warmupMs`. */
export class ColdStart {
  private timeUnderLoadMs: number;
  private lastAdvanceMs: number;
  private claimsWarmUntilMs = 0;
  /** Highest ratio of concurrent requests to capacity; above 1 the engine crashed. */
  worstRatio = 0;

  constructor(
    private readonly cfg: Pick<
      EngineConfig,
      'coldCapacity' | 'warmCapacity' | 'warmupMs' | 'startCold'
    >,
    nowMs: number
  ) {
    this.timeUnderLoadMs = cfg.startCold ? 0 : cfg.warmupMs;
    this.lastAdvanceMs = nowMs;
  }

  /** Turns cold; the status still says warm for `claimLagMs`. */
  turnCold(nowMs: number, claimLagMs: number): void {
    this.timeUnderLoadMs = 0;
    this.lastAdvanceMs = nowMs;
    this.claimsWarmUntilMs = nowMs + claimLagMs;
  }

  /** Adds the time since the last call to the time under load. */
  advance(nowMs: number, concurrent: number): void {
    if (concurrent > 0) this.timeUnderLoadMs += nowMs - this.lastAdvanceMs;
    this.lastAdvanceMs = nowMs;
  }

  /** Concurrent requests that the engine can take now. */
  capacity(): number {
    const {coldCapacity, warmCapacity, warmupMs} = this.cfg;
    const share =
      warmupMs === 0 ? 1 : Math.min(1, this.timeUnderLoadMs / warmupMs);
    return Math.floor(coldCapacity + share * (warmCapacity - coldCapacity));
  }

  /** Whether this many concurrent requests crash the engine; only a cold one crashes. */
  overloaded(concurrent: number): boolean {
    if (!this.cold()) return false;
    this.worstRatio = Math.max(this.worstRatio, concurrent / this.capacity());
    return concurrent > this.capacity();
  }

  cold(): boolean {
    return this.timeUnderLoadMs < this.cfg.warmupMs;
  }

  claimsCold(nowMs: number): boolean {
    return this.cold() && nowMs >= this.claimsWarmUntilMs;
  }
}
