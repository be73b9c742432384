import {TokenPace} from '../src/agent/tokenPace';

const RULE = {start: 2, full: 16, overMs: 10_000};
const STEP_MS = 20;

describe('pace of tokens', () => {
  let pace: TokenPace;
  let nowMs: number;

  beforeEach(() => {
    pace = new TokenPace();
    nowMs = 1_000;
  });

  /** Steps in which each of some streams gets a token; the ramp's samples. */
  function steps(count: number, stepMs: number, streams = 1) {
    const samples = [];
    for (let step = 0; step < count; step++) {
      nowMs += stepMs;
      for (let stream = 0; stream < streams; stream++) {
        // Tokens of one step come a little apart.
        const gap = {
          nowMs: nowMs + stream * 0.1,
          startedAtMs: nowMs - stepMs,
          outstanding: streams,
        };
        samples.push(pace.take(gap, RULE, false));
      }
    }
    return samples.filter(sample => sample !== undefined);
  }

  // A cold engine falls over: it warms slower than its rule says, and whole
  // answers tell only when they end. Its steps have slowed long before.
  it('should show strain within a few steps', () => {
    steps(300, STEP_MS);
    const strained = steps(40, STEP_MS * 3);
    expect(strained.at(-1)?.slowdown).toBeGreaterThan(1.5);
  });

  it('should take one sample a step, however many streams there are', () => {
    expect(steps(20, STEP_MS, 8)).toHaveLength(steps(20, STEP_MS, 1).length);
  });

  // Each new prompt slows one step for all; taken for strain, a busy and
  // healthy target would be shut.
  it('should not take the prompts of others for strain', () => {
    steps(300, STEP_MS);
    pace.prefillBegan();
    const during = steps(40, STEP_MS * 3);
    pace.prefillEnded(nowMs);
    expect(during.at(-1)?.slowdown).toBeLessThan(1.1);
  });
});
