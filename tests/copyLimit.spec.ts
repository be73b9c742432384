import {maxCopiesPerRank} from '../src/policy/copyLimit';

const LARGE_COPY_MS = 98;
const SMALL_COPY_MS = 14;

describe('copies per rank for one map switch', () => {
  it('should allow one copy right after a shift and two later', () => {
    const shift = {skew: 3, skewWithoutSlowRanks: 3, copyMs: LARGE_COPY_MS};
    expect(maxCopiesPerRank(shift)).toBe(1);
    expect(
      maxCopiesPerRank({...shift, skew: 1.5, skewWithoutSlowRanks: 1.5})
    ).toBe(2);
  });

  it('should allow as many small copies as fit into the time of a large one', () => {
    const shift = {skew: 3, skewWithoutSlowRanks: 3, copyMs: SMALL_COPY_MS};
    expect(maxCopiesPerRank(shift)).toBe(4);
  });

  // A rank becomes slow, all passes wait for it, and its experts are moved away
  // at once. When demand shifts afterwards, the copies for the shift must not
  // take four times as long.
  it('should allow many only while a slow rank determines the pass duration', () => {
    const slow = {skew: 5, skewWithoutSlowRanks: 1.3, copyMs: LARGE_COPY_MS};
    expect(maxCopiesPerRank(slow)).toBe(4);
    const emptied = {skew: 3.1, skewWithoutSlowRanks: 3, copyMs: LARGE_COPY_MS};
    expect(maxCopiesPerRank(emptied)).toBe(1);
  });
});
