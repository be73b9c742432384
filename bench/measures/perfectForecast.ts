/** A perfect forecast of popularity, which no estimate from reports can beat. */

import type {PopularityForecast} from '../../src/policy/popularity';
import type {ExpertWorld} from './expertWorld';

/** Forecasts by running a second world with the same seed ahead of the first. */
export class PerfectForecast implements PopularityForecast {
  readonly hasSamples = true;
  private readonly byTick: (readonly number[])[] = [];

  constructor(
    private readonly world: ExpertWorld,
    private readonly tickMs: number
  ) {}

  add(): void {}

  predict(atMs: number): readonly number[] {
    const tick = Math.max(0, Math.round(atMs / this.tickMs) - 1);
    while (this.byTick.length <= tick) {
      this.world.advance(this.tickMs);
      this.byTick.push(this.world.popularity());
    }
    return this.byTick[tick] ?? [];
  }
}
