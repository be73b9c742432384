import {PopularityEstimate} from '../src/policy/popularity';

const SAMPLE_INTERVAL_MS = 1000;

/** Counts whose shares move linearly from one expert to the other. */
function countsAt(atMs: number): readonly number[] {
  const first = 0.2 + atMs / 100_000;
  return [1e6 * first, 1e6 * (1 - first)];
}

function times(count: number): readonly number[] {
  return Array.from({length: count}, (_, index) => index * SAMPLE_INTERVAL_MS);
}

function estimateOf(order: readonly number[]): PopularityEstimate {
  const estimate = new PopularityEstimate(2);
  order.forEach(atMs => estimate.add({atMs, counts: countsAt(atMs)}));
  return estimate;
}

describe('popularity of experts', () => {
  it('should expect equal shares before the first sample', () => {
    const estimate = new PopularityEstimate(4);
    expect(estimate.hasSamples).toBe(false);
    expect(estimate.predict(0)).toEqual([0.25, 0.25, 0.25, 0.25]);
  });

  it('should extrapolate a trend to the time of the prediction', () => {
    const [first = 0] = estimateOf(times(20)).predict(21_000);
    expect(first).toBeCloseTo(0.41, 2);
  });

  it('should not extrapolate a trend beyond the limit', () => {
    const estimate = estimateOf(times(20));
    expect(estimate.predict(1e9)).toEqual(estimate.predict(19_000 + 5000));
  });

  it.each([
    ['out of order', [...times(20)].sort((a, b) => (a % 3000) - (b % 3000))],
    ['with gaps', times(20).filter(atMs => atMs % 4000 !== 0)],
  ])('should predict the same from samples %s', (_, order) => {
    const [first = 0] = estimateOf(order).predict(20_000);
    expect(first).toBeCloseTo(0.4, 2);
  });

  it('should give a late sample less weight than a recent one', () => {
    const estimate = new PopularityEstimate(2);
    estimate.add({atMs: 10_000, counts: [80, 20]});
    estimate.add({atMs: 0, counts: [20, 80]});
    const [first = 0] = estimate.predict(10_000);
    expect(first).toBeGreaterThan(0.75);
  });

  it.each([
    ['no tokens', [0, 0]],
    ['another number of experts', [1, 1, 1]],
  ])('should ignore a sample of %s', (_, counts) => {
    const estimate = new PopularityEstimate(2);
    estimate.add({atMs: 0, counts});
    expect(estimate.hasSamples).toBe(false);
  });
});
