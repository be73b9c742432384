import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import {ExpertDemand} from '../src/ranks/expertDemand';

const EXPERTS = 20;

/** Adds choices by a Zipf distribution in which `top` is the most popular. */
function addChoices(counts: readonly number[], top: number, choices: number) {
  let harmonicSum = 0;
  for (let i = 0; i < EXPERTS; i++) harmonicSum += 1 / (i + 1);
  return counts.map((count, expert) => {
    const popularityRank = (expert - top + EXPERTS) % EXPERTS;
    return count + Math.round(choices / (popularityRank + 1) / harmonicSum);
  });
}

function noChoices(): readonly number[] {
  return Array.from({length: EXPERTS}, () => 0);
}

class DemandFixture {
  readonly demand = new ExpertDemand(1, EXPERTS);
  private counts = noChoices();

  constructor(private readonly rankId = 'r0') {
    this.begin();
  }

  choose(top: number, choices: number): void {
    this.counts = addChoices(this.counts, top, choices);
  }

  begin(): void {
    this.demand.beginWindows([this.reading()]);
  }

  note(isRecent = false) {
    return this.demand.addReadings([this.reading()], isRecent);
  }

  private reading() {
    const {rankId, counts} = this;
    return {rankId, counts: {pass: 1, epoch: 1, counts}};
  }

  /** Most popular expert. */
  get leader(): number {
    const list = this.demand.ofSet(0);
    return list.indexOf(Math.max(...list));
  }
}

/**
 * Ranks with a common demand, and a share of their own that changes each time.
 */
class SampleFixture {
  readonly demand = new ExpertDemand(1, EXPERTS);
  private readonly random = xorshift128plus(7);
  private counts: (readonly number[])[];

  constructor(ranks: number) {
    this.counts = Array.from({length: ranks}, noChoices);
    this.demand.beginWindows(this.readings());
  }

  /** Both ratios are of all choices. */
  choose(shiftedRatio: number, ownRatio: number) {
    this.counts = this.counts.map(counts => {
      const top = Math.abs(this.random.next()) % EXPERTS;
      const common = addChoices(
        counts,
        3,
        50_000 * (1 - ownRatio - shiftedRatio)
      );
      const shifted = addChoices(common, 13, 50_000 * shiftedRatio);
      return addChoices(shifted, top, 50_000 * ownRatio);
    });
    return this.demand.addReadings(this.readings(), false);
  }

  private readings() {
    return this.counts.map((counts, i) => ({
      rankId: `r${i}`,
      counts: {pass: 1, epoch: 1, counts},
    }));
  }
}

describe('demand for experts', () => {
  it('should wait for enough choices', () => {
    const fixture = new DemandFixture();
    fixture.choose(0, 100);
    expect(fixture.note()).toBe('nothing');
    fixture.choose(0, 3_000);
    expect(fixture.note()).toBe('shifted');
  });

  it('should report two readings of the same demand as unchanged', () => {
    const fixture = new DemandFixture();
    fixture.choose(3, 50_000);
    expect(fixture.note()).toBe('shifted');
    fixture.choose(3, 50_000);
    expect(fixture.note()).toBe('same');
  });

  // A window spans a shift, so that about half of its choices are of the demand
  // before. A plan for the mixture would replicate experts that are no longer
  // in demand, and the next switch would have to make all copies again.
  it('should not accept a shift until a window holds the new demand alone', () => {
    const fixture = new DemandFixture();
    fixture.choose(3, 50_000);
    fixture.note();
    fixture.choose(3, 20_000);
    fixture.choose(13, 30_000);
    expect(fixture.note()).toBe('shifting');
    expect(fixture.leader).toBe(3);
    fixture.choose(13, 10_000);
    expect(fixture.note(true)).toBe('shifted');
    expect(fixture.leader).toBe(13);
    const list = fixture.demand.ofSet(0);
    expect(list[3]).toBeLessThan((list[13] ?? 0) / 5);
  });

  it('should ignore choices made before a window began', () => {
    const fixture = new DemandFixture();
    fixture.choose(3, 50_000);
    fixture.note();
    fixture.choose(3, 90_000);
    fixture.begin();
    fixture.choose(13, 10_000);
    expect(fixture.note(true)).toBe('shifted');
    const list = fixture.demand.ofSet(0);
    expect(list[3]).toBeLessThan((list[13] ?? 0) / 5);
  });

  // The requests of one rank cover few subjects at a time. Its counts alone
  // would show the experts of those subjects as the demand of all ranks.
  it('should add up the choices of the ranks of a sample', () => {
    const demand = new ExpertDemand(1, EXPERTS);
    const ranks = [2, 9, 16];
    const read = (choices: number) =>
      ranks.map((top, i) => {
        const counts = addChoices(noChoices(), top, choices);
        return {rankId: `r${i}`, counts: {pass: 1, epoch: 1, counts}};
      });
    demand.beginWindows(read(0));
    expect(demand.addReadings(read(10_000), true)).toBe('shifted');
    const list = demand.ofSet(0);
    const [first = 0, second = 0, third = 0] = ranks.map(top => list[top]);
    expect(Math.max(first, second, third)).toBeLessThan(
      1.2 * Math.min(first, second, third)
    );
  });

  it('should begin a new window after the rank restarted', () => {
    const fixture = new DemandFixture();
    fixture.choose(3, 50_000);
    fixture.note();
    const counts = Array.from({length: EXPERTS}, () => 900);
    const reading = {rankId: 'r0', counts: {pass: 1, epoch: 2, counts}};
    expect(fixture.demand.addReadings([reading], true)).toBe('nothing');
  });

  // The sampled rank has no requests any more, and another one is read instead.
  // The difference between the counts of two ranks is not a demand.
  it('should not compare the counts of two ranks', () => {
    const fixture = new DemandFixture();
    fixture.choose(3, 50_000);
    fixture.note();
    const counts = addChoices(noChoices(), 13, 90_000);
    const other = {rankId: 'r5', counts: {pass: 9, epoch: 1, counts}};
    expect(fixture.demand.addReadings([other], true)).toBe('nothing');
    expect(fixture.leader).toBe(3);
  });

  // If a shift of a few hundredths of the choices were taken for noise, each
  // window would blur the known demand, and no map would be switched any more
  // while passes get longer.
  it('should detect a small shift when the ranks of a sample differ little', () => {
    const sample = new SampleFixture(4);
    expect(sample.choose(0, 0.02)).toBe('shifted');
    for (let i = 0; i < 5; i++) expect(sample.choose(0, 0.02)).toBe('same');
    expect(sample.choose(0.1, 0.02)).toBe('shifting');
  });

  // The few requests of each rank cover other subjects in every window. If that
  // were reported as a shift, switches would move copies back and forth.
  it('should not report a shift when the ranks of a sample differ widely', () => {
    const sample = new SampleFixture(4);
    sample.choose(0, 0.4);
    const changes = Array.from({length: 40}, () => sample.choose(0, 0.4));
    const falsely = changes.filter(change => change !== 'same');
    expect(falsely.length).toBeLessThanOrEqual(2);
  });
});
