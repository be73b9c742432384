/**
 * Targets that stated in a response to this node that they leave. A node acts on it
 * alone: an announcement may be late, and no leader may be reachable.
 */

import type {TargetBoot} from './nodeRateLimits';
import type {TargetTable} from './targetTable';

/** Longer than an announcement may be late after the record was dropped. */
const KEEP_WITHOUT_RECORD_MS = 300_000;

interface Departure {
  readonly bornMs: number;
  readonly statedAtMs: number;
}

/** Departures by target id. A boot that leaves never comes back; the next one may. */
export class TargetDepartures {
  private readonly departures = new Map<string, Departure>();

  /** Notes a departure; returns whether it is new. */
  add({id, bornMs}: TargetBoot, nowMs: number): boolean {
    const isNew = !this.has({id, bornMs});
    this.departures.set(id, {bornMs, statedAtMs: nowMs});
    return isNew;
  }

  has({id, bornMs}: TargetBoot): boolean {
    return this.departures.get(id)?.bornMs === bornMs;
  }

  /** Ids of the targets that leave. */
  ids(): readonly string[] {
    return [...this.departures.keys()];
  }

  /** Evicts the departures of targets that have restarted, or are gone for long. */
  evict(table: TargetTable, nowMs: number): void {
    for (const [id, {bornMs, statedAtMs}] of this.departures) {
      const record = table.find(id);
      const isOver =
        record === undefined
          ? nowMs - statedAtMs > KEEP_WITHOUT_RECORD_MS
          : record.bornMs > bornMs;
      if (isOver) this.departures.delete(id);
    }
  }
}
