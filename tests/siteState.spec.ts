import {ControlState} from '../src/control/state/controlState';
import type {ZoneCommand} from '../src/control/state/command';
import {MAX_ZONES} from '../src/control/state/siteState';

/** Orders of one zone, in log order; the index of the first is 1. */
function play(
  orders: readonly Omit<ZoneCommand, 'kind' | 'availabilityZone'>[]
) {
  const state = new ControlState();
  const results = orders.map((order, i) => {
    const command = {kind: 'zone', availabilityZone: 'c', ...order} as const;
    const reply = state.apply(command, i + 1);
    return reply.command === 'zone' && reply.result.kind;
  });
  return {state, results, isOut: state.site.zonesOut.includes('c')};
}

describe('orders of a zone', () => {
  // A node was frozen with a withdrawal, which its sender repeated elsewhere; carried
  // out late, it undid the evacuation that came after.
  it('should not be undone by one that was taken before them', () => {
    const {results, isOut} = play([
      {out: true, seenRevision: 0},
      {out: false, seenRevision: 1},
      {out: true, seenRevision: 2},
      {out: false, seenRevision: 1},
    ]);
    expect(results).toEqual(['applied', 'applied', 'applied', 'outdated']);
    expect(isOut).toBe(true);
  });

  // The second evacuation changes nothing, and its acknowledgement must hold all the
  // same.
  it('should not be undone after a repeat that changed nothing', () => {
    const {results, isOut} = play([
      {out: true, seenRevision: 0},
      {out: true, seenRevision: 0},
      {out: false, seenRevision: 1},
    ]);
    expect(results).toEqual(['applied', 'applied', 'outdated']);
    expect(isOut).toBe(true);
  });

  it('should be applied in the order of the log without a revision', () => {
    const {isOut} = play([{out: true}, {out: false}, {out: true}]);
    expect(isOut).toBe(true);
  });

  it('should keep their revisions in a snapshot', () => {
    const {state} = play([{out: true, seenRevision: 0}]);
    const restored = new ControlState();
    restored.restore(state.snapshot());
    expect(restored.site.zoneRevisions).toEqual({c: 1});
    expect(restored.site.zonesOut).toEqual(['c']);
  });

  // Each name that was ever ordered stayed in the log's state, and in all replies.
  it('should be kept of a bounded number of zones, those that are out first', () => {
    const {state} = play([{out: true, seenRevision: 0}]);
    for (let i = 0; i < 2 * MAX_ZONES; i++)
      for (const out of [true, false])
        state.apply(
          {kind: 'zone', availabilityZone: `z${i}`, out, seenRevision: 0},
          i
        );
    const {zoneRevisions} = state.site;
    expect(Object.keys(zoneRevisions).length).toBeLessThanOrEqual(MAX_ZONES);
    expect(zoneRevisions).toHaveProperty('c');
  });
});
