import {TargetState} from '../src/agent/targetState';
import {DEFAULT_WARMUP} from '../src/rules/ruleDefaults';
import type {TargetObservation} from '../src/target/targetAdapter';

const RULE = {...DEFAULT_WARMUP, start: 2, full: 8};

function observation(
  running: number,
  loadAgeMs: number,
  overrides: Partial<TargetObservation> = {}
): TargetObservation {
  return {
    bootId: 'boot',
    state: 'ready',
    load: {running, waiting: 0, loadAgeMs},
    cacheEvents: {events: [], missed: 0},
    ...overrides,
  } as TargetObservation;
}

describe('target state', () => {
  // The agent restarts while its earlier boot has two requests running. A load
  // measured before the restart does not show them. If it were used, a cold
  // target would get twice its limit.
  it('should start nothing before a load is measured after its own start', () => {
    const state = new TargetState(1_000);
    state.recordObservation(observation(0, 500), 0, 1_100);
    expect(state.limit(RULE, 1_100)).toBe(0);
    state.recordObservation(observation(2, 10), 0, 1_200);
    expect(state.limit(RULE, 1_200)).toBe(0);
    state.recordObservation(observation(1, 10), 0, 1_300);
    expect(state.limit(RULE, 1_300)).toBe(1);
  });

  it.each([
    ['restarted', {bootId: 'another'}],
    ['loading', {state: 'loading'}],
    ['claims cold', {cold: true}],
  ] as const)('should count as cold when it %s', (reason, change) => {
    const state = new TargetState(0);
    expect(state.recordObservation(observation(0, 0), 0, 10)).toBeUndefined();
    expect(state.recordObservation(observation(0, 0, change), 0, 20)).toBe(
      reason
    );
    expect(state.temperature(RULE)).toBe('cold');
  });

  // The target does not respond to probes. It may be restarting, and full load
  // at its return would overload it.
  it('should start nothing while the target is unreachable', () => {
    const state = new TargetState(0);
    state.recordObservation(observation(0, 0), 0, 10);
    expect(state.limit(RULE, 10)).toBe(2);
    state.markUnreachable(20);
    expect(state.limit(RULE, 20)).toBe(0);
    state.recordObservation(observation(0, 0), 0, 30);
    expect(state.limit(RULE, 30)).toBe(2);
  });
});
