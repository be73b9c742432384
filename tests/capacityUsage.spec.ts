import {UsageState} from '../src/control/state/usageState';

const BOOTS = 4_097;

/** Every boot reports one request. */
function reportAll(state: UsageState): void {
  for (let i = 0; i < BOOTS; i++) {
    const totals = [{customer: 'harbour', requests: 1, tokens: 2, queueMs: 0}];
    state.apply({kind: 'usage', entryBootId: `boot-${i}`, totals});
  }
}

describe('use by customer', () => {
  it('should count each boot once when a new leader reports all of them again', () => {
    // Entries restart over weeks, and each control instance has heard of all
    // their boots. The leader is lost, and the next one logs every boot that it
    // has heard of: customers would be charged twice for those in the sum.
    const state = new UsageState();
    reportAll(state);
    const restored = new UsageState();
    restored.restore(state.snapshot());
    for (const one of [state, restored]) {
      reportAll(one);
      expect(one.totals()).toMatchObject([
        {requests: BOOTS, tokens: 2 * BOOTS},
      ]);
    }
  });
});
