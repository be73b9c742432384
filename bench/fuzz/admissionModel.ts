/**
 * Checks the admission ratios of a leader under seeded schedules: lost reports, new
 * leaders, nodes that are cut off, changes of demand and capacity, and bad counts.
 */

import type {UrgencyRatio} from '../../src/policy/admission/admissionPlan';
import {compareUrgency, parseUrgency} from '../../src/policy/admission/urgency';
import {AdmissionWorld, type Caller} from './admissionWorld';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';

const PHASES = 3;
/** Time of a phase in which nothing changes; averages have settled at its end. */
const PHASE_MS = 9_000;
const FLOORS = [0, 0.2, 0.4, 1];
const RATES = [2, 5, 20, 60];
const WORKS = [1, 50, 500];
/** Rounding of ratios. */
const STEP = 0.001;
/** A customer with this part of its share never reaches the share by chance. */
const SMALL_PART = 0.25;

function assertInvariant(condition: boolean, violation: string): void {
  if (!condition) throw new Error(violation);
}

class AdmissionSimulation {
  private readonly random: SeededRandom;
  private readonly callers: readonly Caller[];
  private readonly floor: number;
  private readonly world: AdmissionWorld;
  private capacity = 100;
  /** Least part of its demand that an urgency had since the shedding began. */
  private leastKept = 1;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    const {random} = this;
    const urgencies = ['0/0', '0/1', '1/0', '2/1'].slice(0, random.int(1, 4));
    const names = Array.from({length: random.int(1, 5)}, (_, i) => `c${i}`);
    this.callers = urgencies.flatMap(urgency =>
      names.map(customer => ({
        urgency,
        customer,
        perSecond: random.pick(RATES),
        work: random.pick(WORKS),
      }))
    );
    this.floor = random.pick(FLOORS);
    this.world = new AdmissionWorld(
      {
        nodes: random.int(1, 40),
        capacity: () => this.capacity,
        callers: this.callers,
        floor: this.floor,
        loss: random.pick([0, 0.1, 0.3]),
        oldNodes: random.pick([0, 0, 0.3]),
      },
      random
    );
  }

  run(): void {
    for (let i = 0; i < PHASES; i++) {
      this.change();
      this.world.run(PHASE_MS, () => this.checkPlan());
      this.checkSmallCustomers();
    }
  }

  private change(): void {
    const {random, world} = this;
    switch (random.int(0, 5)) {
      case 0:
        world.killLeader();
        world.run(random.int(0, 3_000));
        world.startLeader();
        this.leastKept = 1;
        break;
      case 1:
        world.cut(0, random.int(500, 4_000));
        break;
      case 2:
        this.capacity = random.pick([0, 1, 100, 1_000, NaN, Infinity]);
        break;
      case 3:
        this.reportBadCounts();
        break;
      default:
        random.pick(this.callers).perSecond *= random.pick([0.1, 1, 10]);
    }
  }

  private reportBadCounts(): void {
    const bad = () => this.random.pick([NaN, -5, Infinity, 0, 3]);
    const urgency = this.random.pick(['0/0', '', '-1/x', 'NaN/0']);
    const entry = {urgency, customer: 'bad', arrivals: bad(), work: bad()};
    const load = {inFlight: bad(), waiting: bad(), serviceTimeMs: bad()};
    this.world.plan?.report(
      'bad',
      {...load, demand: [entry], coveredMs: bad()},
      this.world.now
    );
  }

  private checkPlan(): void {
    const {plan} = this.world;
    if (plan === undefined) return;
    const {ratios} = plan;
    if (ratios === undefined) {
      this.leastKept = 1;
      return;
    }
    const kept = Math.min(this.floor, this.capacity / plan.wanted);
    if (!Number.isNaN(kept)) this.leastKept = Math.min(this.leastKept, kept);
    ratios.forEach((level, i) => {
      checkLevel(level, this.leastKept);
      checkOrder(ratios[i - 1], level);
    });
  }

  /**
   * A customer far within its share is not refused because of others, once the leader
   * knows it.
   */
  private checkSmallCustomers(): void {
    for (const {urgency, ratio, customers} of this.world.plan?.ratios ?? []) {
      const level = this.callers.filter(caller => caller.urgency === urgency);
      const total = level.reduce((sum, caller) => sum + workOf(caller), 0);
      const share = (ratio * total) / level.length;
      for (const caller of level)
        if (workOf(caller) < share * SMALL_PART)
          assertInvariant(
            (customers.get(caller.customer) ?? 1) === 1,
            `${caller.customer} is within its share of ${urgency} and is shed ${workOf(caller)} ${share} ${JSON.stringify([...customers])} ${ratio} ${JSON.stringify(level)}`
          );
    }
  }
}

function workOf({perSecond, work}: Caller): number {
  return perSecond * work;
}

function checkLevel(
  {urgency, ratio, customers}: UrgencyRatio,
  leastKept: number
): void {
  for (const value of [ratio, ...customers.values()])
    assertInvariant(
      value >= 0 && value <= 1,
      `a ratio of ${urgency} is ${value}`
    );
  assertInvariant(
    ratio >= leastKept - STEP,
    `${urgency} keeps ${ratio}, less than the floor ${leastKept}`
  );
}

function checkOrder(first: UrgencyRatio | undefined, next: UrgencyRatio): void {
  const a = parseUrgency(first?.urgency ?? '');
  const b = parseUrgency(next.urgency);
  if (first === undefined || a === undefined || b === undefined) return;
  assertInvariant(
    compareUrgency(a, b) < 0 && first.ratio >= next.ratio,
    `${first.urgency} keeps less than ${next.urgency}`
  );
}

/** Checks the admission ratios of a leader. */
export const ADMISSION_MODEL: FuzzModel = {
  name: 'admission',
  run(seed) {
    new AdmissionSimulation(seed).run();
  },
};
