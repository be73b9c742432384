import {SeededRandom} from '../bench/fuzz/schedule';
import {UsageState} from '../src/control/state/usageState';
import {UsageTable} from '../src/control/usageTable';
import type {CustomerUsage, PollAnswer} from '../src/core/wire';
import {UsageCounter} from '../src/entry/usageCounter';
import {UsageTo} from '../src/sync/usageReports';

const BOOTS = 4_097;

/** Every boot reports one request. */
function reportAll(state: UsageState): void {
  for (let i = 0; i < BOOTS; i++) {
    const totals = [{customer: 'harbour', requests: 1, tokens: 2, queueMs: 0}];
    state.apply({kind: 'usage', entryBootId: `boot-${i}`, totals});
  }
}

describe('use by customer', () => {
  it('should count each boot once when a new leader reports all of them again', () => {
    // Entries restart over weeks, and each control instance has heard of all
    // their boots. The leader is lost, and the next one logs every boot that it
    // has heard of: customers would be charged twice for those in the sum.
    const state = new UsageState();
    reportAll(state);
    const restored = new UsageState();
    restored.restore(state.snapshot());
    for (const one of [state, restored]) {
      reportAll(one);
      expect(one.totals()).toMatchObject([
        {requests: BOOTS, tokens: 2 * BOOTS},
      ]);
    }
  });
});

const STEPS = 120;
const SEEDS = Array.from({length: 40}, (_, seed) => seed);
/** Long enough for a silent boot to be forgotten. */
const SILENCE_MS = 61_000;

/** One entry before three instances of control, which share one log. */
class Charged {
  readonly counter = new UsageCounter();
  readonly log = new UsageState();
  private readonly sent = [0, 1, 2].map(() => new UsageTo());
  private readonly tables = [0, 1, 2].map(() => new UsageTable(this.log));
  private nowMs = 0;
  leader = 0;

  wait(ms: number): void {
    this.nowMs += ms;
  }

  restart(i: number): void {
    this.tables[i] = new UsageTable(this.log);
  }

  /** Parts of the poll that arrive: neither, the request, or the answer too. */
  report(arrives: 'nothing' | 'request' | 'answer'): void {
    const to = this.sent[this.leader]!;
    const report = to.due(this.counter.report(), this.nowMs);
    if (report === undefined || arrives === 'nothing') return;
    const {usage = [], usagePart = false} = report.part;
    const table = this.tables[this.leader]!;
    const held = table.report('boot-1', usage, usagePart, this.nowMs);
    if (arrives === 'answer')
      to.answered(report, {usageAgain: !held} as PollAnswer);
  }

  logUse(): void {
    for (const report of this.tables[this.leader]!.listUnlogged(this.nowMs))
      this.log.apply({kind: 'usage', ...report});
  }

  get charged(): readonly CustomerUsage[] {
    return this.log.totals();
  }
}

function step(world: Charged, random: SeededRandom): void {
  const customer = `customer-${random.int(0, 3)}`;
  switch (random.int(0, 6)) {
    case 0:
    case 1:
      return world.counter.add(customer, {requests: 1, tokens: 5});
    case 2:
    case 3:
      world.wait(5_000);
      return world.report(
        random.pick(['nothing', 'request', 'answer', 'answer'] as const)
      );
    case 4:
      return world.logUse();
    case 5:
      world.leader = random.int(0, 2);
      return;
    default:
      if (random.int(0, 1) === 0) return world.restart(random.int(0, 2));
      world.wait(SILENCE_MS);
      return world.logUse();
  }
}

describe('changed rows of use, to the leader alone', () => {
  // With every row in each report an entry of 200 customers would send 10 KB/s
  // for use alone, and nothing but the bytes would show it.
  it('should tell of the customers that called since, and of no other', () => {
    const counter = new UsageCounter();
    const to = new UsageTo();
    counter.add('harbour', {requests: 1});
    counter.add('depot', {requests: 1});
    const first = to.due(counter.report(), 0)!;
    to.answered(first, {usageAgain: false} as PollAnswer);
    counter.add('depot', {requests: 1});
    const second = to.due(counter.report(), SILENCE_MS)!;
    expect(second.part).toMatchObject({
      usage: [{customer: 'depot', requests: 2}],
      usagePart: true,
    });
    expect(second.rows).toHaveLength(1);
  });

  it.each(SEEDS)('should be charged once each, seed %i', seed => {
    // Answers are lost, leaders change, instances restart and forget boots
    // that are silent. Customers would be charged for less when a part of the
    // rows stood for all of them, or when rows that only a lost leader had
    // heard of were taken for told.
    const random = new SeededRandom(seed);
    const world = new Charged();
    const used = () => world.counter.report();
    const sum = (rows: readonly CustomerUsage[]) =>
      rows.reduce((total, {requests}) => total + requests, 0);
    for (let i = 0; i < STEPS; i++) {
      step(world, random);
      expect(sum(world.charged)).toBeLessThanOrEqual(sum(used()));
    }
    // A part that the instance cannot take is followed by the whole.
    for (let i = 0; i < 2; i++) {
      world.wait(5_000);
      world.report('answer');
    }
    world.logUse();
    const sorted = (rows: readonly CustomerUsage[]) =>
      [...rows].sort((a, b) => a.customer.localeCompare(b.customer));
    expect(sorted(world.charged)).toEqual(sorted(used()));
  });
});

describe('use that a control instance keeps', () => {
  const row = {customer: 'harbour', requests: 3, tokens: 9, queueMs: 0};

  it('should be forgotten once it is logged and its entry is silent', () => {
    const log = new UsageState();
    const table = new UsageTable(log);
    table.report('boot-1', [row], false, 0);
    const [report] = table.listUnlogged(SILENCE_MS);
    expect(report).toEqual({entryBootId: 'boot-1', totals: [row]});
    // The proposal failed: nothing is in the log yet.
    expect(table.listUnlogged(SILENCE_MS)).toEqual([report]);
    log.apply({kind: 'usage', ...report!});
    expect(table.listUnlogged(SILENCE_MS)).toEqual([]);
    expect(table.report('boot-1', [row], true, SILENCE_MS)).toBe(false);
  });

  it('should not go back by a report that comes late', () => {
    const log = new UsageState();
    const table = new UsageTable(log);
    table.report('boot-1', [row], false, 0);
    table.report('boot-1', [{...row, requests: 1}], false, 1);
    expect(table.listUnlogged(1)).toMatchObject([{totals: [row]}]);
  });
});
