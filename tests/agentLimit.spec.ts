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

function agentCore(): AgentCore {
  return new AgentCore({
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
}

describe('limit of an agent', () => {
  // A target that may start with four gets one request at a time for minutes.
  // Its agent announced itself before it knew the rules, under the default
  // ramp; the true rule was then taken for a change in the middle of the ramp.
  it('should begin at the start that the rules give, whenever they come', () => {
    const core = agentCore();
    core.state.observed(READY, 0, performance.now());
    expect(core.announcement().limit).toBe(0);
    const parsed = parseRules(RULES);
    if (!parsed.ok) throw new Error('rules');
    const rules = {revision: 1, index: new RuleIndex(parsed.ruleSet)};
    core.attach({rules} as unknown as ControlSync);
    expect(core.announcement().limit).toBe(4);
  });

  // A target comes back with another model under the same agent. Entries that
  // have not heard of it yet would get that model's answer for the one they
  // asked; what they send is for a boot that is over, and is refused unrun.
  it('should take a new boot id when its target shows another model', () => {
    const core = agentCore();
    const boots = [
      ...['phi', 'phi', 'llama'].map(model => ({model, modelVersion: 'v1'})),
      {model: 'llama', modelVersion: 'v2'},
    ].map(held => {
      core.observed({...READY, ...held});
      return core.agentBootId;
    });
    expect(boots[1]).toBe(boots[0]);
    expect(new Set(boots).size).toBe(3);
  });

  it('should be 0 while the target is given another model', () => {
    const core = agentCore();
    const parsed = parseRules(RULES);
    if (!parsed.ok) throw new Error('rules');
    const rules = {revision: 1, index: new RuleIndex(parsed.ruleSet)};
    core.attach({rules} as unknown as ControlSync);
    core.state.observed(READY, 0, performance.now());
    const sinceMs = performance.now();
    for (let nowMs = sinceMs; nowMs < sinceMs + 50_000; nowMs += 100)
      core.state.served(
        {nowMs, startedAtMs: nowMs - 50, outstanding: 16, cost: 1},
        core.warmup()
      );
    expect(core.announcement().temperature).toBe('warm');
    core.beginChange();
    expect(core.announcement().limit).toBe(0);
    core.endChange(true);
    const {limit, temperature} = core.announcement();
    expect(temperature).not.toBe('warm');
    expect(limit).toBeLessThan(16);
  });
});
