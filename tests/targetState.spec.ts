import {TargetState} from '../src/agent/targetState';
import {DEFAULT_WARMUP} from '../src/rules/ruleDefaults';
import type {TargetObservation} from '../src/target/targetAdapter';

const RULE = {...DEFAULT_WARMUP, start: 2, full: 8};

function seen(
  running: number,
  loadAgeMs: number,
  change: Partial<TargetObservation> = {}
): TargetObservation {
  return {
    bootId: 'boot',
    state: 'ready',
    load: {running, waiting: 0, loadAgeMs},
    cacheEvents: {events: [], missed: 0},
    ...change,
  } as TargetObservation;
}

describe('state of the target beside an agent', () => {
  // The agent restarted while its earlier boot had two requests running. A
  // report from before the restart does not show them; trusting it, a cold
  // target would get twice what it can bear.
  it('should start nothing before a report of its own time', () => {
    const state = new TargetState(1_000);
    state.observed(seen(0, 500), 0, 1_100);
    expect(state.limit(RULE, 1_100)).toBe(0);
    state.observed(seen(2, 10), 0, 1_200);
    expect(state.limit(RULE, 1_200)).toBe(0);
    state.observed(seen(1, 10), 0, 1_300);
    expect(state.limit(RULE, 1_300)).toBe(1);
  });

  it.each([
    ['restarted', {bootId: 'another'}],
    ['loading', {state: 'loading'}],
    ['claims cold', {cold: true}],
  ] as const)('should take it for cold when it %s', (reason, change) => {
    const state = new TargetState(0);
    expect(state.observed(seen(0, 0), 0, 10)).toBeUndefined();
    expect(state.observed(seen(0, 0, change), 0, 20)).toBe(reason);
    expect(state.temperature(RULE)).toBe('cold');
  });

  // The target answers no probe any more: it may be starting anew, and full
  // load at its return would topple it.
  it('should give no work while the target is lost', () => {
    const state = new TargetState(0);
    state.observed(seen(0, 0), 0, 10);
    expect(state.limit(RULE, 10)).toBe(2);
    state.lost(20);
    expect(state.limit(RULE, 20)).toBe(0);
    state.observed(seen(0, 0), 0, 30);
    expect(state.limit(RULE, 30)).toBe(2);
  });
});
