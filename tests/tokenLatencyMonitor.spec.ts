import {TokenLatencyMonitor} from '../src/agent/tokenLatencyMonitor';

const RULE = {start: 2, full: 16, overMs: 10_000};
const PASS_MS = 20;

describe('token latency monitor', () => {
  let monitor: TokenLatencyMonitor;
  let nowMs: number;

  beforeEach(() => {
    monitor = new TokenLatencyMonitor();
    nowMs = 1_000;
  });

  /**
   * Runs passes in which each stream gets a token; returns the ramp samples.
   */
  function runPasses(count: number, passMs: number, streams = 1) {
    const samples = [];
    for (let step = 0; step < count; step++) {
      nowMs += passMs;
      for (let stream = 0; stream < streams; stream++) {
        // Tokens of one pass arrive 0.1 ms apart.
        const gap = {
          nowMs: nowMs + stream * 0.1,
          startedAtMs: nowMs - passMs,
          outstanding: streams,
        };
        samples.push(monitor.recordGap(gap, RULE, false));
      }
    }
    return samples.filter(sample => sample !== undefined);
  }

  // A cold engine that warms up slower than its rule gets overloaded. The
  // latency of whole responses shows it only at their end, long after its
  // passes slow down.
  it('should show an overload within a few passes', () => {
    runPasses(300, PASS_MS);
    const overloaded = runPasses(40, PASS_MS * 3);
    expect(overloaded.at(-1)?.slowdown).toBeGreaterThan(1.5);
  });

  it('should use one gap per pass, however many streams there are', () => {
    expect(runPasses(20, PASS_MS, 8)).toHaveLength(
      runPasses(20, PASS_MS, 1).length
    );
  });

  // Each new prompt makes one pass longer for all streams. If that counted as
  // an overload, the limit of a busy and healthy target would fall.
  it('should not count the prefills of other requests as an overload', () => {
    runPasses(300, PASS_MS);
    monitor.prefillStarted();
    const duringPrefill = runPasses(40, PASS_MS * 3);
    monitor.prefillEnded(nowMs);
    expect(duringPrefill.at(-1)?.slowdown).toBeLessThan(1.1);
  });
});
