/** Rests that targets asked this node for. */

import type {TargetBoot} from './nodeRateLimits';
import type {TargetTable} from './targetTable';

/** Guards against a garbled value that would exclude a target for good. */
const MAX_REST_MS = 300_000;

interface Rest {
  readonly bornMs: number;
  readonly untilMs: number;
}

/** Rests by target id; each is for one boot. */
export class TargetRests {
  private readonly rests = new Map<string, Rest>();

  /** Begins a rest, or prolongs it; a shorter one does not end it sooner. */
  begin(target: TargetBoot, restMs: number, nowMs: number): void {
    const {id, bornMs} = target;
    const leftMs = this.remainingMs(target, nowMs);
    const durationMs = Math.min(MAX_REST_MS, Math.max(leftMs, restMs));
    this.rests.set(id, {bornMs, untilMs: nowMs + durationMs});
  }

  /** Time until the rest ends; 0 when the target is not at rest. */
  remainingMs({id, bornMs}: TargetBoot, nowMs: number): number {
    const rest = this.rests.get(id);
    if (rest === undefined || rest.bornMs !== bornMs) return 0;
    return Math.max(0, rest.untilMs - nowMs);
  }

  /** Evicts the rests of targets that are gone or have restarted. */
  evict(table: TargetTable): void {
    for (const [id, {bornMs}] of this.rests)
      if (table.find(id)?.bornMs !== bornMs) this.rests.delete(id);
  }
}
