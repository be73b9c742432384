/**
 * Demand for each model in concurrent requests, from the announcements of
 * targets. Pure: times are arguments. Demand rises quickly, because callers wait
 * meanwhile, and falls slowly, because a pause between two bursts must not move
 * targets to other models.
 */

const RISE_TIME_CONSTANT_MS = 30_000;
const FALL_TIME_CONSTANT_MS = 300_000;
/**
 * Minimum observation time before orders may be based on the demand: a new
 * leader has not heard from every target yet.
 */
const MIN_OBSERVED_MS = 4_500;

/** Requests at one target, running and queued. */
export interface TargetLoad {
  readonly model?: string;
  readonly outstanding: number;
  readonly queued: number;
}

/**
 * Current requests by model. Queues grow without bound while a model has too few
 * targets, so each target counts with at most twice its concurrency: what it runs
 * and a queue of the same size. Demand then at most doubles from one change to
 * the next, instead of claiming the whole pool.
 */
export function demandByModel(
  targets: readonly TargetLoad[],
  concurrency: number
): ReadonlyMap<string, number> {
  const work = new Map<string, number>();
  for (const {model, outstanding, queued} of targets) {
    if (model === undefined) continue;
    const capped = outstanding + Math.min(queued, concurrency);
    work.set(model, (work.get(model) ?? 0) + capped);
  }
  return work;
}

/** Exponentially smoothed demand by model. */
export class FleetDemand {
  private levels = new Map<string, number>();
  private firstSampleMs: number | undefined;
  private atMs = 0;

  observe(work: ReadonlyMap<string, number>, nowMs: number): void {
    const isFirst = this.firstSampleMs === undefined;
    this.firstSampleMs ??= nowMs;
    const spanMs = nowMs - this.atMs;
    this.atMs = nowMs;
    for (const model of new Set([...this.levels.keys(), ...work.keys()])) {
      const sample = work.get(model) ?? 0;
      const level = this.levels.get(model) ?? 0;
      const timeConstantMs =
        sample > level ? RISE_TIME_CONSTANT_MS : FALL_TIME_CONSTANT_MS;
      const weight = isFirst ? 1 : 1 - Math.exp(-spanMs / timeConstantMs);
      this.levels.set(model, level + weight * (sample - level));
    }
  }

  /** Whether demand was observed long enough to base orders on it. */
  settled(nowMs: number): boolean {
    return (
      this.firstSampleMs !== undefined &&
      nowMs - this.firstSampleMs >= MIN_OBSERVED_MS
    );
  }

  smoothedByModel(): ReadonlyMap<string, number> {
    return this.levels;
  }
}
