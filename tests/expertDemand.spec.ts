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

function fixture() {
  const demand = new ExpertDemand(1, EXPERTS);
  let counts = Array.from({length: EXPERTS}, () => 0);
  const read = () => demand.note('r0', {pass: 1, epoch: 1, counts});
  read();
  return {
    demand,
    read,
    choose: (top: number, choices: number) => {
      counts = add(counts, top, choices);
    },
  };
}

function leader(demand: ExpertDemand): number {
  const list = demand.ofSet(0);
  return list.indexOf(Math.max(...list));
}

describe('demand for experts', () => {
  it('should wait for enough choices', () => {
    const {read, choose} = fixture();
    choose(0, 100);
    expect(read()).toBe('nothing');
  });

  it('should take two readings of one demand for the same', () => {
    const {read, choose} = fixture();
    choose(3, 50_000);
    expect(read()).toBe('shifted');
    choose(3, 50_000);
    expect(read()).toBe('same');
  });

  // A reading spans a shift: half of its choices are of the demand before. A
  // plan for the mixture would spread experts that nobody wants any more.
  it('should tell the new demand from the old one in a mixed reading', () => {
    const {demand, read, choose} = fixture();
    choose(3, 50_000);
    read();
    choose(3, 20_000);
    choose(13, 30_000);
    expect(read()).toBe('shifted');
    expect(leader(demand)).toBe(13);
    const list = demand.ofSet(0);
    expect(list[3]).toBeLessThan((list[13] ?? 0) / 3);
  });

  it('should begin anew after the rank started again', () => {
    const {demand, read, choose} = fixture();
    choose(3, 50_000);
    read();
    const fresh = Array.from({length: EXPERTS}, () => 1);
    expect(demand.note('r0', {pass: 1, epoch: 2, counts: fresh})).toBe(
      'nothing'
    );
  });

  // The rank that was read has no requests any more, and another is read: the
  // difference between the two would be no demand at all.
  it('should not compare the counts of two ranks', () => {
    const {demand, read, choose} = fixture();
    choose(3, 50_000);
    read();
    const counts = add(
      Array.from({length: EXPERTS}, () => 0),
      13,
      90_000
    );
    const other = {pass: 9, epoch: 1, counts};
    expect(demand.note('r5', other)).toBe('nothing');
    expect(leader(demand)).toBe(3);
  });
});
