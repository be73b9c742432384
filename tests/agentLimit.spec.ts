import {AgentCore} from '../src/agent/agentCore';
import {Metrics} from '../src/core/metrics';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';
import type {ControlSync} from '../src/sync/controlSync';
import type {TargetAdapter} from '../src/target/targetAdapter';
import {SILENT_LOGGER} from './logCluster';

const RULES = `revision 1 # asked by Aoife
pool allocation service # asked by Aoife
warmup allocation start=4 full=16 over=2s # asked by Aoife
`;
const READY = {
  state: 'ready',
  adapters: [],
  cacheEvents: {events: [], missed: 0},
} as const;

function createAgent(): AgentCore {
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
    logger: SILENT_LOGGER,
    metrics: new Metrics('test'),
  });
}

describe('limit of an agent', () => {
  // An agent announced itself before it had the rules, with the default ramp.
  // The first rule then counted as a change during the ramp, and a target that
  // may start with 4 requests got one at a time for minutes.
  it('should begin at the start of the rule, whenever the rules arrive', () => {
    const core = createAgent();
    core.state.recordObservation(READY, 0, performance.now());
    expect(core.announcement().limit).toBe(0);
    const parsed = parseRules(RULES);
    if (!parsed.ok) throw new Error('rules');
    const rules = {revision: 1, index: new RuleIndex(parsed.ruleSet)};
    core.attach({rules} as unknown as ControlSync);
    expect(core.announcement().limit).toBe(4);
  });

  // A target returns with another model under the same agent. Entries that do
  // not know it yet would get a response of the wrong model; with a new boot id
  // their dispatches are refused before they run.
  it('should take a new boot id when its target shows another model', () => {
    const core = createAgent();
    const bootIds = [
      ...['phi', 'phi', 'llama'].map(model => ({model, modelVersion: 'v1'})),
      {model: 'llama', modelVersion: 'v2'},
    ].map(loaded => {
      core.recordObservation({...READY, ...loaded});
      return core.agentBootId;
    });
    expect(bootIds[1]).toBe(bootIds[0]);
    expect(new Set(bootIds).size).toBe(3);
  });

  it('should be 0 while the target changes its model', () => {
    const core = createAgent();
    const parsed = parseRules(RULES);
    if (!parsed.ok) throw new Error('rules');
    const rules = {revision: 1, index: new RuleIndex(parsed.ruleSet)};
    core.attach({rules} as unknown as ControlSync);
    core.state.recordObservation(READY, 0, performance.now());
    const sinceMs = performance.now();
    for (let nowMs = sinceMs; nowMs < sinceMs + 50_000; nowMs += 100)
      core.state.recordResponse(
        {nowMs, startedAtMs: nowMs - 50, outstanding: 16, cost: 1},
        core.warmup()
      );
    expect(core.announcement().temperature).toBe('warm');
    core.beginModelChange();
    expect(core.announcement().limit).toBe(0);
    core.endModelChange(true);
    const {limit, temperature} = core.announcement();
    expect(temperature).not.toBe('warm');
    expect(limit).toBeLessThan(16);
  });
});
