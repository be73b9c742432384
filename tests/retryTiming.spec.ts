import {RetryTiming} from '../src/policy/admission/retryTiming';

const HALF = () => 0.5;

describe('Retry-After of refused requests', () => {
  // One of fifty requests finds no free slot; a quick retry is still in time.
  it('should be short after a momentary shortage', () => {
    const timing = new RetryTiming();
    for (let i = 0; i < 50; i++) timing.recordRequest(i * 20);
    expect(timing.recordRefusal(1_000, HALF)).toBeLessThan(400);
  });

  // Half of a burst is refused. After a quick retry the same requests would meet the
  // same burst, and callers make no third attempt.
  it('should be long in a lasting shortage', () => {
    const timing = new RetryTiming();
    let retryInMs = 0;
    for (let i = 0; i < 50; i++) {
      timing.recordRequest(i * 20);
      if (i % 2 === 0) retryInMs = timing.recordRefusal(i * 20, HALF);
    }
    expect(retryInMs).toBeGreaterThan(1_000);
  });

  it('should be short again after the shortage', () => {
    const timing = new RetryTiming();
    for (let i = 0; i < 50; i++) {
      timing.recordRequest(i * 20);
      timing.recordRefusal(i * 20, HALF);
    }
    for (let i = 0; i < 50; i++) timing.recordRequest(8_000 + i * 20);
    expect(timing.recordRefusal(9_000, HALF)).toBeLessThan(400);
  });
});
