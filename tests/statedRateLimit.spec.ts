import {RATE_LIMIT_MODEL, checkRateLimit} from '../bench/fuzz/rateLimitModel';
import {SeededRandom} from '../bench/fuzz/schedule';

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

  // Guards against shares of two leaders, of a frozen, a cut off and a restarted
  // node that are in force together.
  it('should hold under seeded schedules of faults', () => {
    for (let seed = 1; seed <= 60; seed++)
      expect(() => RATE_LIMIT_MODEL.run(seed)).not.toThrow();
  });
});
