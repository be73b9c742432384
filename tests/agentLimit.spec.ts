import {AgentCore} from '../src/agent/agentCore';
import {Metrics} from '../src/core/metrics';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';
import type {ControlSync} from '../src/sync/controlSync';
import type {TargetAdapter} from '../src/target/targetAdapter';
import {SILENT} from './logCluster';

const RULES = `revision 1 # asked by Aoife
pool allocation service # asked by Aoife
warmup allocation start=4 full=16 over=2s # asked by Aoife
`;
const READY = {
  state: 'ready',
  adapters: [],
  cacheEvents: {events: [], missed: 0},
} as const;

describe('limit of an agent', () => {
  // A target that may start with four gets one request at a time for minutes.
  // Its agent announced itself before it knew the rules, under the default
  // ramp; the true rule was then taken for a change in the middle of the ramp.
  it('should begin at the start that the rules give, whenever they come', () => {
    const core = new AgentCore({
      target: {
        id: 'allocation-0',
        pool: 'allocation',
        kind: 'service',
        host: '127.0.0.1',
        port: 1,
        probeIntervalMs: 250,
        drainMs: 0,
      },
      availabilityZone: 'quay-a',
      host: '127.0.0.1',
      adapter: {} as TargetAdapter,
      logger: SILENT,
      metrics: new Metrics('test'),
    });
    core.state.observed(READY, 0, performance.now());
    expect(core.announcement().limit).toBe(0);
    const parsed = parseRules(RULES);
    if (!parsed.ok) throw new Error('rules');
    const rules = {revision: 1, index: new RuleIndex(parsed.ruleSet)};
    core.attach({rules} as unknown as ControlSync);
    expect(core.announcement().limit).toBe(4);
  });
});
