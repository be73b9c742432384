import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import {ExpertDemand} from '../src/ranks/expertDemand';

const EXPERTS = 20;

/** Counts that grow by `choices` of a demand in which `top` leads. */
function add(counts: readonly number[], top: number, choices: number) {
  let total = 0;
  for (let i = 0; i < EXPERTS; i++) total += 1 / (i + 1);
  return counts.map((count, expert) => {
    const place = (expert - top + EXPERTS) % EXPERTS;
    return count + Math.round(choices / (place + 1) / total);
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
    this.counts = add(this.counts, top, choices);
  }

  begin(): void {
    this.demand.begin([this.reading()]);
  }

  note(isRecent = false) {
    return this.demand.note([this.reading()], isRecent);
  }

  private reading() {
    const {rankId, counts} = this;
    return {rankId, counts: {pass: 1, epoch: 1, counts}};
  }

  get leader(): number {
    const list = this.demand.ofSet(0);
    return list.indexOf(Math.max(...list));
  }
}

/** Ranks with a common demand, and a part of their own that changes each time. */
class SampleFixture {
  readonly demand = new ExpertDemand(1, EXPERTS);
  private readonly random = xorshift128plus(7);
  private counts: (readonly number[])[];

  constructor(ranks: number) {
    this.counts = Array.from({length: ranks}, noChoices);
    this.demand.begin(this.readings());
  }

  /** `moved` and `own` are parts of all choices. */
  choose(moved: number, own: number) {
    this.counts = this.counts.map(counts => {
      const top = Math.abs(this.random.next()) % EXPERTS;
      const common = add(counts, 3, 50_000 * (1 - own - moved));
      const shifted = add(common, 13, 50_000 * moved);
      return add(shifted, top, 50_000 * own);
    });
    return this.demand.note(this.readings(), false);
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

  it('should take two readings of one demand for the same', () => {
    const fixture = new DemandFixture();
    fixture.choose(3, 50_000);
    expect(fixture.note()).toBe('shifted');
    fixture.choose(3, 50_000);
    expect(fixture.note()).toBe('same');
  });

  // A reading spans a shift: half of its choices are of the demand before. A
  // plan for the mixture would spread experts that nobody wants any more, and
  // the switch that follows it would pay for all copies once more.
  it('should plan for nothing until a window holds the new demand alone', () => {
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

  it('should leave out what came before a window was begun', () => {
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

  // The requests of one rank ask for few subjects at a time. Its counts alone
  // would name the experts of those subjects as what all ranks want.
  it('should add up the choices of the ranks of a sample', () => {
    const demand = new ExpertDemand(1, EXPERTS);
    const ranks = [2, 9, 16];
    const read = (choices: number) =>
      ranks.map((top, i) => {
        const counts = add(noChoices(), top, choices);
        return {rankId: `r${i}`, counts: {pass: 1, epoch: 1, counts}};
      });
    demand.begin(read(0));
    expect(demand.note(read(10_000), true)).toBe('shifted');
    const list = demand.ofSet(0);
    const [first = 0, second = 0, third = 0] = ranks.map(top => list[top]);
    expect(Math.max(first, second, third)).toBeLessThan(
      1.2 * Math.min(first, second, third)
    );
  });

  it('should begin anew after the rank started again', () => {
    const fixture = new DemandFixture();
    fixture.choose(3, 50_000);
    fixture.note();
    const counts = Array.from({length: EXPERTS}, () => 900);
    const reading = {rankId: 'r0', counts: {pass: 1, epoch: 2, counts}};
    expect(fixture.demand.note([reading], true)).toBe('nothing');
  });

  // The rank that was read has no requests any more, and another is read: the
  // difference between the two would be no demand at all.
  it('should not compare the counts of two ranks', () => {
    const fixture = new DemandFixture();
    fixture.choose(3, 50_000);
    fixture.note();
    const counts = add(noChoices(), 13, 90_000);
    const other = {rankId: 'r5', counts: {pass: 9, epoch: 1, counts}};
    expect(fixture.demand.note([other], true)).toBe('nothing');
    expect(fixture.leader).toBe(3);
  });

  // Shifts that move a few hundredths of the choices pass for noise, each window
  // blurs what is known, and no map is changed any more while passes get longer.
  it('should tell a small shift by how little the ranks of a sample differ', () => {
    const sample = new SampleFixture(4);
    expect(sample.choose(0, 0.02)).toBe('shifted');
    for (let i = 0; i < 5; i++) expect(sample.choose(0, 0.02)).toBe('same');
    expect(sample.choose(0.1, 0.02)).toBe('shifting');
  });

  // The few requests of each rank ask for other subjects with every window. Taken
  // for shifts, they would move copies back and forth.
  it('should take ranks that differ widely from each other for no shift', () => {
    const sample = new SampleFixture(4);
    sample.choose(0, 0.4);
    const changes = Array.from({length: 40}, () => sample.choose(0, 0.4));
    const falsely = changes.filter(change => change !== 'same');
    expect(falsely.length).toBeLessThanOrEqual(2);
  });
});
