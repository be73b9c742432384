/**
 * Checks the cold-start ramp under seeded schedules: its limit stays within the
 * rule, grows gradually, does not grow while the target is idle or slow, and
 * falls to the start when the target turns cold.
 */

import {
  freshRamp,
  restartRamp,
  rampLimit,
  rampRuleChanged,
  rampAfterResponse,
  type RampState,
  type WarmupLimits,
} from '../../src/policy/ramp';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';

const STEPS = 300;
/** Largest slope of a quadratic ramp, as a multiple of the linear slope. */
const MAX_SLOPE_RATIO = 2;
const ROUNDING_TOLERANCE = 1e-6;

function assertInvariant(condition: boolean, violation: string): void {
  if (!condition) throw new Error(violation);
}

class RampSimulation {
  private readonly random: SeededRandom;
  private rule: WarmupLimits;
  private state: RampState;
  private now = 0;
  private coldAt = 0;
  private ruleChanged = false;
  /** The limit after the last response. */
  private provenLimit = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.rule = this.randomRule();
    this.state = freshRamp(this.now);
  }

  run(): void {
    for (let step = 0; step < STEPS; step++) {
      this.now += this.random.int(0, 500);
      const kind = this.random.int(0, 99);
      if (kind < 90) this.serveRequest();
      else if (kind < 95) this.turnCold();
      else this.changeRule();
      assertInvariant(
        this.limit() >= 1,
        'the limit is below 1 and excludes the target'
      );
      assertInvariant(
        this.limit() <= Math.max(1, this.rule.full),
        'the limit exceeds the rule'
      );
    }
  }

  private serveRequest(): void {
    const before = this.state.level ?? this.rule.start;
    const limit = this.limit();
    const elapsed = this.now - this.state.creditedAtMs;
    const sample = {
      nowMs: this.now,
      startedAtMs: this.now - this.random.int(0, 3000),
      outstanding: this.random.int(0, limit + 2),
      slowdown: this.random.pick([1, 1.2, 1.9, 2.3, 5]),
    };
    this.state = rampAfterResponse(this.state, this.rule, sample);
    const after = this.state.level ?? this.rule.start;
    this.provenLimit = this.limit();
    const span = Math.max(this.rule.full - this.rule.start, 0);
    const maxGrowth =
      (MAX_SLOPE_RATIO * span * Math.max(0, elapsed)) / this.rule.overMs;
    if (span > 0)
      assertInvariant(
        after <= before + maxGrowth + ROUNDING_TOLERANCE,
        'the limit grows too fast under load'
      );
    const mustNotGrow = sample.outstanding === 0 || sample.slowdown > 2.2;
    assertInvariant(
      !mustNotGrow || after <= before + ROUNDING_TOLERANCE,
      'the limit grows while the target is idle or slow'
    );
    this.checkMinWarmup();
  }

  /** The ramp from cold to full must take at least the time of the rule. */
  private checkMinWarmup(): void {
    if (this.ruleChanged || this.rule.full <= this.rule.start) return;
    const full = (this.state.level ?? 0) >= this.rule.full - ROUNDING_TOLERANCE;
    assertInvariant(
      !full || this.now - this.coldAt >= this.rule.overMs - ROUNDING_TOLERANCE,
      'the ramp reaches full before the time of the rule'
    );
  }

  private turnCold(): void {
    this.state = restartRamp(this.state, this.now);
    this.coldAt = this.now;
    this.provenLimit = 0;
    this.ruleChanged = false;
    assertInvariant(
      this.limit() <= Math.max(1, this.rule.start),
      'a cold target has a limit above the start'
    );
  }

  private changeRule(): void {
    const before = this.limit();
    this.state = rampRuleChanged(this.state, this.rule, this.now);
    this.rule = this.randomRule();
    this.ruleChanged = true;
    assertInvariant(
      this.limit() <= Math.max(before, this.provenLimit),
      'a changed rule raises the limit above the load that the target has served'
    );
  }

  private limit(): number {
    return rampLimit(this.state, this.rule, this.now);
  }

  private randomRule(): WarmupLimits {
    const start = this.random.int(1, 16);
    return {
      start,
      full: this.random.int(start, 64),
      overMs: this.random.int(1, 30) * 1000,
    };
  }
}

/** Checks the cold-start ramp. */
export const RAMP_MODEL: FuzzModel = {
  name: 'ramp',
  run: seed => new RampSimulation(seed).run(),
};
