/** Nodes that take turns: first come, first served, while they keep reporting. */

/**
 * Longest period of reports at which nodes take turns. Beyond it, the next in turn
 * would hold up all others until it reports again.
 */
const MAX_PERIOD_MS = 250;
/** Time without a report after which a node loses its place. */
const KEPT_PERIODS = 2.5;
const MAX_KEPT_MS = 600;

/** A queue of nodes; each report of a node keeps its place. */
export class TurnQueue {
  /** Time of the last report by node, in the order of the first one. */
  private readonly reportedAtMs = new Map<string, number>();

  get size(): number {
    return this.reportedAtMs.size;
  }

  /** Enters a node that has just reported, or keeps its place. */
  enter(node: string, nowMs: number): void {
    this.reportedAtMs.set(node, nowMs);
  }

  leave(node: string): void {
    this.reportedAtMs.delete(node);
  }

  /** Whether it is the turn of a node that has just reported, for `count` nodes. */
  isTurnOf(node: string, count: number, periodMs: number): boolean {
    if (count <= 0) return false;
    if (periodMs > MAX_PERIOD_MS) return true;
    const first = [...this.reportedAtMs.keys()].slice(0, count);
    return first.includes(node);
  }

  /** Drops nodes that have missed their reports. */
  evict(periodMs: number, nowMs: number): void {
    const keptMs = Math.min(MAX_KEPT_MS, KEPT_PERIODS * periodMs);
    for (const [node, atMs] of this.reportedAtMs)
      if (nowMs - atMs > keptMs) this.reportedAtMs.delete(node);
  }
}
