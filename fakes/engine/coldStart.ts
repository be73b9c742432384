/** What a cold engine bears, and what it claims. */

import type {EngineConfig} from './engineConfig';

/** Grows from cold to warm with time under load. */
export class ColdStart {
  private loadedMs: number;
  private lastMs: number;
  private claimsWarmUntilMs = 0;
  /** Most requests at once over what could be borne; above 1 it fell over. */
  worstRatio = 0;

  constructor(
    private readonly cfg: Pick<
      EngineConfig,
      'coldCapacity' | 'warmCapacity' | 'warmupMs' | 'startCold'
    >,
    nowMs: number
  ) {
    this.loadedMs = cfg.startCold ? 0 : cfg.warmupMs;
    this.lastMs = nowMs;
  }

  /** Turns cold; the report goes on claiming to be warm for a while. */
  turnCold(nowMs: number, claimLagMs: number): void {
    this.loadedMs = 0;
    this.lastMs = nowMs;
    this.claimsWarmUntilMs = nowMs + claimLagMs;
  }

  /** Accounts for the time since the last call. */
  advance(nowMs: number, concurrent: number): void {
    if (concurrent > 0) this.loadedMs += nowMs - this.lastMs;
    this.lastMs = nowMs;
  }

  /** Requests at once that can be borne now. */
  bearable(): number {
    const {coldCapacity, warmCapacity, warmupMs} = this.cfg;
    const share = warmupMs === 0 ? 1 : Math.min(1, this.loadedMs / warmupMs);
    return Math.floor(coldCapacity + share * (warmCapacity - coldCapacity));
  }

  /** Whether this many requests at once make it fall over. */
  overloaded(concurrent: number): boolean {
    if (!this.cold()) return false;
    this.worstRatio = Math.max(this.worstRatio, concurrent / this.bearable());
    return concurrent > this.bearable();
  }

  cold(): boolean {
    return this.loadedMs < this.cfg.warmupMs;
  }

  claimsCold(nowMs: number): boolean {
    return this.cold() && nowMs >= this.claimsWarmUntilMs;
  }
}
