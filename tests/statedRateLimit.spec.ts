import {RATE_LIMIT_MODEL, checkRateLimit} from '../bench/fuzz/rateLimitModel';
import {SeededRandom} from '../bench/fuzz/schedule';
import {SimulatedCluster} from '../bench/fuzz/simulatedCluster';
import {StatingTarget} from '../bench/fuzz/statingTarget';

function perSecond({arrivals}: StatingTarget, fromMs: number, toMs: number) {
  const count = arrivals.filter(
    ({atMs}) => atMs >= fromMs && atMs < toMs
  ).length;
  return (count * 1_000) / (toMs - fromMs);
}

const FOR_EVER = (rateLimit: number) => [{fromMs: 5_000, rateLimit}];

describe('rate limit that a target states in its responses', () => {
  // Guards against a target that is overrun though it has asked all nodes together
  // for less: none reads the limit, or each node spends all of it.
  it.each([
    {nodes: 1, rateLimit: 1},
    {nodes: 3, rateLimit: 0},
    {nodes: 7, rateLimit: 1},
    {nodes: 12, rateLimit: 1},
    {nodes: 12, rateLimit: 10},
    {nodes: 300, rateLimit: 1},
  ])(
    'should hold for $nodes nodes together at $rateLimit per second',
    ({nodes, rateLimit}) => {
      const scenario = {
        nodes,
        targets: 4,
        ratePerTarget: 3 * Math.max(1, rateLimit),
        statements: FOR_EVER(rateLimit),
        faults: [],
      };
      expect(() => checkRateLimit(scenario, new SeededRandom(1))).not.toThrow();
    }
  );

  // Guards against a limit that is lost with the leader: the next one may have
  // started just now, and no record that it has names a limit.
  it('should hold after the leader restarted', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const scenario = {
        nodes: 3,
        targets: 2,
        ratePerTarget: 20,
        statements: FOR_EVER(0),
        faults: [15, 22, 29, 36].map(s => ({
          atMs: s * 1_000,
          kind: 'lostLeader' as const,
        })),
      };
      const random = new SeededRandom(seed);
      expect(() => checkRateLimit(scenario, random)).not.toThrow();
    }
  });

  // Guards against a limit that keeps a target idle, or away for good after its end:
  // only a response can tell that it has ended.
  it('should be used, and end with the first response without it', () => {
    const random = new SeededRandom(1);
    const cluster = new SimulatedCluster(
      {nodes: 7, requestsPerSecond: 24},
      random
    );
    const limited = new StatingTarget('t0', 1, 'a0:1', [
      {fromMs: 5_000, rateLimit: 2},
      {fromMs: 30_000},
    ]);
    const others = [1, 2, 3].map(
      i => new StatingTarget(`t${i}`, 1, `a${i}`, [])
    );
    for (const target of [limited, ...others]) cluster.addTarget(target);
    cluster.queue.runUntil(45_000);
    expect(perSecond(limited, 9_000, 30_000)).toBeGreaterThan(1.2);
    const usual = perSecond(limited, 2_000, 5_000);
    expect(perSecond(limited, 33_000, 45_000)).toBeGreaterThan(0.7 * usual);
  });

  // Guards against callers who are refused though a token is free: none of their
  // targets takes a request without one.
  it('should be used when the only target has it', () => {
    const cluster = new SimulatedCluster(
      {nodes: 7, requestsPerSecond: 8},
      new SeededRandom(1)
    );
    const limited = new StatingTarget('t0', 1, 'a0:1', [
      {fromMs: 5_000, rateLimit: 3},
    ]);
    cluster.addTarget(limited);
    cluster.queue.runUntil(45_000);
    expect(perSecond(limited, 9_000, 45_000)).toBeGreaterThan(1.8);
  });

  // Guards against shares of two leaders, of a frozen, a cut off and a restarted
  // node that are in force together.
  it('should hold under seeded schedules of faults', () => {
    for (let seed = 1; seed <= 60; seed++)
      expect(() => RATE_LIMIT_MODEL.run(seed)).not.toThrow();
  });
});
