import {LengthEstimate} from '../src/policy/admission/lengthEstimate';

describe('estimate of output tokens', () => {
  it('should be corrected by what streams of the route turn out to be', () => {
    const lengths = new LengthEstimate();
    for (let i = 0; i < 200; i++) lengths.record('chat', 100, 150);
    expect(lengths.outputTokens('chat', 100, 1_000)).toBeCloseTo(150, 0);
    expect(lengths.outputTokens('chat', 100, 120)).toBe(120);
    expect(lengths.outputTokens('other', 100, 0)).toBe(100);
  });

  // Guards against hints that are false on purpose, and against NaN in the work. With
  // a hint of 0 a flood was within the fair share of its customer.
  it('should be bounded and ignore bad input', () => {
    const lengths = new LengthEstimate();
    for (const bad of [NaN, 0, -1, Infinity]) {
      lengths.record('chat', bad, 100);
      lengths.record('chat', 100, bad);
      expect(lengths.outputTokens('chat', bad, 500)).toBe(500);
      expect(lengths.outputTokens('chat', bad, bad)).toBe(0);
    }
    expect(lengths.outputTokens('chat', 100, 0)).toBe(100);
    for (let i = 0; i < 500; i++) lengths.record('chat', 1, 1e9);
    expect(lengths.outputTokens('chat', 100, 0)).toBeLessThanOrEqual(400);
  });
});
