import {SeededRandom} from '../bench/fuzz/schedule';
import {UsageState} from '../src/control/state/usageState';
import {UsageTable} from '../src/control/usageTable';
import type {CustomerUsage, PollAnswer} from '../src/core/wire';
import {UsageCounter} from '../src/entry/usageCounter';
import {UsageTracker} from '../src/sync/usageTracker';

const BOOT_COUNT = 4_097;

/** Every boot reports one request. */
function applyReports(state: UsageState): void {
  for (let i = 0; i < BOOT_COUNT; i++) {
    const totals = [{customer: 'harbour', requests: 1, tokens: 2, queueMs: 0}];
    state.apply({kind: 'usage', entryBootId: `boot-${i}`, totals});
  }
}

describe('usage by customer', () => {
  it('should count each boot once when a new leader logs all of them again', () => {
    // Entries restart over weeks and report all their boots to each control
    // instance. The leader is lost and the next one logs every boot that it
    // knows. Customers would be billed twice for boots already in the sum.
    const state = new UsageState();
    applyReports(state);
    const restored = new UsageState();
    restored.restore(state.snapshot());
    for (const one of [state, restored]) {
      applyReports(one);
      expect(one.totals()).toMatchObject([
        {requests: BOOT_COUNT, tokens: 2 * BOOT_COUNT},
      ]);
    }
  });
});

const STEPS = 120;
const SEEDS = Array.from({length: 40}, (_, seed) => seed);
/** Long enough for a boot that stopped reporting to be dropped. */
const SILENCE_MS = 61_000;

/** One entry that reports to three control instances with a common log. */
class BillingFixture {
  readonly counter = new UsageCounter();
  readonly log = new UsageState();
  private readonly sent = [0, 1, 2].map(() => new UsageTracker());
  private readonly tables = [0, 1, 2].map(() => new UsageTable(this.log));
  private nowMs = 0;
  leader = 0;

  wait(ms: number): void {
    this.nowMs += ms;
  }

  restart(i: number): void {
    this.tables[i] = new UsageTable(this.log);
  }

  /** Which part of the poll arrives: nothing, the request, or both. */
  report(arrives: 'nothing' | 'request' | 'answer'): void {
    const to = this.sent[this.leader]!;
    const report = to.nextReport(this.counter.report(), this.nowMs);
    if (report === undefined || arrives === 'nothing') return;
    const {usage = [], usagePart = false} = report.part;
    const table = this.tables[this.leader]!;
    const held = table.report('boot-1', usage, usagePart, this.nowMs);
    if (arrives === 'answer')
      to.handleReply(report, {usageAgain: !held} as PollAnswer);
  }

  logUsage(): void {
    for (const report of this.tables[this.leader]!.listUnlogged(this.nowMs))
      this.log.apply({kind: 'usage', ...report});
  }

  get billed(): readonly CustomerUsage[] {
    return this.log.totals();
  }
}

function step(fixture: BillingFixture, random: SeededRandom): void {
  const customer = `customer-${random.int(0, 3)}`;
  switch (random.int(0, 6)) {
    case 0:
    case 1:
      return fixture.counter.add(customer, {requests: 1, tokens: 5});
    case 2:
    case 3:
      fixture.wait(5_000);
      return fixture.report(
        random.pick(['nothing', 'request', 'answer', 'answer'] as const)
      );
    case 4:
      return fixture.logUsage();
    case 5:
      fixture.leader = random.int(0, 2);
      return;
    default:
      if (random.int(0, 1) === 0) return fixture.restart(random.int(0, 2));
      fixture.wait(SILENCE_MS);
      return fixture.logUsage();
  }
}

describe('usage reports with changed rows, sent to the leader only', () => {
  // With every row in each report an entry with 200 customers would send 10
  // KB/s for usage alone, which only the traffic would show.
  it('should report only customers with new calls', () => {
    const counter = new UsageCounter();
    const to = new UsageTracker();
    counter.add('harbour', {requests: 1});
    counter.add('depot', {requests: 1});
    const first = to.nextReport(counter.report(), 0)!;
    to.handleReply(first, {usageAgain: false} as PollAnswer);
    counter.add('depot', {requests: 1});
    const second = to.nextReport(counter.report(), SILENCE_MS)!;
    expect(second.part).toMatchObject({
      usage: [{customer: 'depot', requests: 2}],
      usagePart: true,
    });
    expect(second.rows).toHaveLength(1);
  });

  it.each(SEEDS)('should bill each call once, seed %i', seed => {
    // Replies are lost, leaders change, instances restart and drop boots that
    // stopped reporting. Customers would be billed for too little if a partial
    // report counted as all rows of a boot, or if the entry regarded rows as
    // delivered that only a lost leader had received.
    const random = new SeededRandom(seed);
    const fixture = new BillingFixture();
    const reported = () => fixture.counter.report();
    const sum = (rows: readonly CustomerUsage[]) =>
      rows.reduce((total, {requests}) => total + requests, 0);
    for (let i = 0; i < STEPS; i++) {
      step(fixture, random);
      expect(sum(fixture.billed)).toBeLessThanOrEqual(sum(reported()));
    }
    // After a partial report is rejected, the entry sends all rows.
    for (let i = 0; i < 2; i++) {
      fixture.wait(5_000);
      fixture.report('answer');
    }
    fixture.logUsage();
    const sorted = (rows: readonly CustomerUsage[]) =>
      [...rows].sort((a, b) => a.customer.localeCompare(b.customer));
    expect(sorted(fixture.billed)).toEqual(sorted(reported()));
  });
});

describe('usage table of a control instance', () => {
  const row = {customer: 'harbour', requests: 3, tokens: 9, queueMs: 0};

  it('should drop a boot once its usage is logged and it stopped reporting', () => {
    const log = new UsageState();
    const table = new UsageTable(log);
    table.report('boot-1', [row], false, 0);
    const [report] = table.listUnlogged(SILENCE_MS);
    expect(report).toEqual({entryBootId: 'boot-1', totals: [row]});
    // The proposal failed, so the log does not hold the totals yet.
    expect(table.listUnlogged(SILENCE_MS)).toEqual([report]);
    log.apply({kind: 'usage', ...report!});
    expect(table.listUnlogged(SILENCE_MS)).toEqual([]);
    expect(table.report('boot-1', [row], true, SILENCE_MS)).toBe(false);
  });

  it('should not decrease totals by a late report', () => {
    const log = new UsageState();
    const table = new UsageTable(log);
    table.report('boot-1', [row], false, 0);
    table.report('boot-1', [{...row, requests: 1}], false, 1);
    expect(table.listUnlogged(1)).toMatchObject([{totals: [row]}]);
  });
});
