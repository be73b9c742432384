import {ReturnSchedule} from '../src/policy/admission/returnSchedule';

const URGENCY = {customer: 1, route: 0};
const HALF = () => 0.5;

describe('return times of refused requests', () => {
  // Guards against callers who return faster than capacity becomes free.
  it('should be one interval apart', () => {
    const schedule = new ReturnSchedule(HALF);
    const at = (nowMs: number) =>
      nowMs + schedule.assign(URGENCY, 10, 8_000, nowMs);
    expect([at(0), at(5), at(10), at(300)]).toEqual([700, 800, 900, 1_000]);
    expect(at(2_000)).toBe(2_700);
  });

  it('should be kept for each urgency on its own', () => {
    const schedule = new ReturnSchedule(HALF);
    schedule.assign(URGENCY, 10, 8_000, 0);
    const other = {customer: 1, route: 1};
    expect(schedule.assign(other, 10, 8_000, 0)).toBe(700);
  });

  // Guards against times beyond the last at which callers obey, and against a pile of
  // callers at the end of the span once all of it is taken.
  it.each([
    [8_000, 1_966, 2_600],
    [6_000, 1_566, 2_000],
    [1_500, 500, 500],
    [NaN, 1_966, 2_600],
    [-1, 0, 0],
  ])(
    'should be in the last third of the span of %d ms once it is taken',
    (remainingMs, minMs, maxMs) => {
      for (const part of [0, 0.5, 0.999]) {
        const schedule = new ReturnSchedule(() => part);
        for (let i = 0; i < 50; i++)
          schedule.assign(URGENCY, 10, remainingMs, 0);
        const waitMs = schedule.assign(URGENCY, 10, remainingMs, 0);
        expect(waitMs).toBeGreaterThanOrEqual(minMs);
        expect(waitMs).toBeLessThanOrEqual(maxMs);
      }
    }
  );

  // Guards against an early return to an urgency of which nothing is admitted.
  it('should be late while their urgency is closed', () => {
    const schedule = new ReturnSchedule(HALF);
    for (const rate of [0, NaN, -1])
      expect(schedule.assign(URGENCY, rate, 8_000, 0)).toBeGreaterThan(1_966);
  });
});
