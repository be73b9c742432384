/** Counts sends in the last second, for targets that bear only so many cold. */

const SECOND_MS = 1_000;

/** Sends of one node to one target. */
export class RateWindow {
  private sentAtMs: number[] = [];

  /** Whether one more keeps within `perSecond` in every span of a second. */
  allows(nowMs: number, perSecond: number): boolean {
    const oldest = nowMs - SECOND_MS;
    while ((this.sentAtMs[0] ?? Infinity) <= oldest) this.sentAtMs.shift();
    return this.sentAtMs.length < perSecond;
  }

  add(nowMs: number): void {
    this.sentAtMs.push(nowMs);
  }
}

/**
 * Part of the bound for all nodes that one node uses. Each node keeps to its
 * own part all the time: a target may turn cold at any moment, and is known to
 * be only after its next announcement.
 */
export function nodePartOf(
  perSecond: number,
  multiplier: number,
  slack: number,
  nodes: number
): number {
  const bound = perSecond * multiplier + slack;
  return Math.max(1, Math.floor((bound * SAFE_PART) / Math.max(1, nodes)));
}

/** Sends bunch up on their way: what was sent in 1.1 s may arrive in one. */
const SAFE_PART = 0.9;
