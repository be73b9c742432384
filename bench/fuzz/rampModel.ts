/**
 * Seeded schedules against the cold-start ramp: it never passes the rule,
 * never jumps, gains nothing from idle time or strain, and falls to the start.
 */

import {
  freshRamp,
  rampCold,
  rampLimit,
  rampRuleChanged,
  rampServed,
  type RampState,
  type WarmupLimits,
} from '../../src/policy/ramp';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';

const STEPS = 300;
/** Slope of the square at its end, over that of a straight line. */
const STEEPEST = 2;
const ROUNDING = 1e-6;

function check(held: boolean, promise: string): void {
  if (!held) throw new Error(promise);
}

class RampRun {
  private readonly random: SeededRandom;
  private rule: WarmupLimits;
  private state: RampState;
  private now = 0;
  private coldAt = 0;
  private ruleChanged = false;
  /** The limit after the last good answer. */
  private shownLimit = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.rule = this.drawRule();
    this.state = freshRamp(this.now);
  }

  run(): void {
    for (let step = 0; step < STEPS; step++) {
      this.now += this.random.int(0, 500);
      const kind = this.random.int(0, 99);
      if (kind < 90) this.serve();
      else if (kind < 95) this.turnCold();
      else this.changeRule();
      check(this.limit() >= 1, 'the limit shuts the target out');
      check(
        this.limit() <= Math.max(1, this.rule.full),
        'the limit passes the rule'
      );
    }
  }

  private serve(): void {
    const before = this.state.level ?? this.rule.start;
    const limit = this.limit();
    const elapsed = this.now - this.state.creditedAtMs;
    const sample = {
      nowMs: this.now,
      startedAtMs: this.now - this.random.int(0, 3000),
      outstanding: this.random.int(0, limit + 2),
      slowdown: this.random.pick([1, 1.2, 1.9, 2.3, 5]),
    };
    this.state = rampServed(this.state, this.rule, sample);
    const after = this.state.level ?? this.rule.start;
    this.shownLimit = this.limit();
    const span = Math.max(this.rule.full - this.rule.start, 0);
    const most = (STEEPEST * span * Math.max(0, elapsed)) / this.rule.overMs;
    if (span > 0)
      check(after <= before + most + ROUNDING, 'the limit jumps under load');
    const useless = sample.outstanding === 0 || sample.slowdown > 2.2;
    check(
      !useless || after <= before + ROUNDING,
      'the limit grows while idle or strained'
    );
    this.checkShortestTime();
  }

  /** From cold to full takes the rule's time at least. */
  private checkShortestTime(): void {
    if (this.ruleChanged || this.rule.full <= this.rule.start) return;
    const full = (this.state.level ?? 0) >= this.rule.full - ROUNDING;
    check(
      !full || this.now - this.coldAt >= this.rule.overMs - ROUNDING,
      'full sooner than the rule allows'
    );
  }

  private turnCold(): void {
    this.state = rampCold(this.state, this.now);
    this.coldAt = this.now;
    this.shownLimit = 0;
    this.ruleChanged = false;
    check(
      this.limit() <= Math.max(1, this.rule.start),
      'a cold target gets more than the start'
    );
  }

  private changeRule(): void {
    const before = this.limit();
    this.state = rampRuleChanged(this.state, this.rule, this.now);
    this.rule = this.drawRule();
    this.ruleChanged = true;
    check(
      this.limit() <= Math.max(before, this.shownLimit),
      'a rule lifts the limit over what the target has shown to bear'
    );
  }

  private limit(): number {
    return rampLimit(this.state, this.rule, this.now);
  }

  private drawRule(): WarmupLimits {
    const start = this.random.int(1, 16);
    return {
      start,
      full: this.random.int(start, 64),
      overMs: this.random.int(1, 30) * 1000,
    };
  }
}

/** The model. */
export const RAMP_MODEL: FuzzModel = {
  name: 'ramp',
  run: seed => new RampRun(seed).run(),
};
