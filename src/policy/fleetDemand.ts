/**
 * Demand for each model, in requests at once, from what targets announce.
 * Pure: times are arguments. It rises quickly, since callers wait meanwhile,
 * and falls slowly, so that a pause between two bursts moves no model.
 */

const RISE_MS = 30_000;
const FALL_MS = 300_000;
/** Observed for less, a demand is no ground for an order. */
const DEMAND_SETTLED_MS = 4_500;

/** What one target has in hand. */
export interface TargetWork {
  readonly model?: string;
  readonly outstanding: number;
  readonly queued: number;
}

/**
 * Requests in hand by model. A queue grows without end while a model is short,
 * so a target counts with at most twice what it may run at once: demand then
 * doubles from one change to the next instead of asking for the whole pool.
 */
export function workByModel(
  targets: readonly TargetWork[],
  full: number
): ReadonlyMap<string, number> {
  const work = new Map<string, number>();
  for (const {model, outstanding, queued} of targets) {
    if (model === undefined) continue;
    const own = outstanding + Math.min(queued, full);
    work.set(model, (work.get(model) ?? 0) + own);
  }
  return work;
}

/** Smoothed demand; forgets nothing while it is fed. */
export class FleetDemand {
  private levels = new Map<string, number>();
  private sinceMs: number | undefined;
  private atMs = 0;

  observe(work: ReadonlyMap<string, number>, nowMs: number): void {
    const first = this.sinceMs === undefined;
    this.sinceMs ??= nowMs;
    const spanMs = nowMs - this.atMs;
    this.atMs = nowMs;
    for (const model of new Set([...this.levels.keys(), ...work.keys()])) {
      const seen = work.get(model) ?? 0;
      const level = this.levels.get(model) ?? 0;
      const overMs = seen > level ? RISE_MS : FALL_MS;
      const part = first ? 1 : 1 - Math.exp(-spanMs / overMs);
      this.levels.set(model, level + part * (seen - level));
    }
  }

  /** Whether it was watched for long enough to act on. */
  settled(nowMs: number): boolean {
    return (
      this.sinceMs !== undefined && nowMs - this.sinceMs >= DEMAND_SETTLED_MS
    );
  }

  levelsNow(): ReadonlyMap<string, number> {
    return this.levels;
  }
}
