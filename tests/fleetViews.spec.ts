import {FleetState} from '../src/control/fleet/fleetState';
import {poolView, ruleKey} from '../src/control/fleet/fleetViews';
import type {Announcement} from '../src/core/wire';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';
import {SAMPLE_ANNOUNCEMENT} from './fixtures/sampleAnnouncement';

const RULES = `revision 1 # asked by Aoife
pool planner engine # asked by Aoife
zone zone-b out # asked by Aoife
serve planner llama version=v2 min=1 max=8 # asked by Una
`;
const SERVED_MODEL = {model: 'llama', modelVersion: 'v2'};

function rules(): RuleIndex {
  const parsed = parseRules(RULES);
  if (!parsed.ok) throw new Error('rules');
  return new RuleIndex(parsed.ruleSet);
}

function view(state: FleetState, ...changes: Partial<Announcement>[]) {
  const targets = changes.map((change, index) => ({
    ...SAMPLE_ANNOUNCEMENT,
    ...SERVED_MODEL,
    targetId: `t${index}`,
    ...change,
  }));
  return poolView(targets, rules(), 'planner', state, {
    demand: new Map(),
    loadMs: 1,
    changedAtMs: new Map(),
    nowMs: 0,
  });
}

describe('input of model planning', () => {
  it.each<[string, Partial<Announcement>]>([
    ['leaves', {state: 'leaving'}],
    ['has a limit of 0', {limit: 0}],
    ['is in a zone out of service', {availabilityZone: 'zone-b'}],
  ])('should not count a target that %s as serving', (_, change) => {
    const {targets} = view(new FleetState(), {}, change);
    expect(targets.map(({serving}) => serving)).toEqual([true, false]);
  });

  // All ranks of a group hold one model. An order to a single rank would stop
  // the passes of all of them, and its engine already numbers orders by map
  // version.
  it('should leave out ranks of a group and targets of other pools', () => {
    const group = {id: 'g', rank: 0, ranks: 2, experts: 2, slots: 2};
    const seen = view(new FleetState(), {}, {group}, {pool: 'other'});
    expect(seen.targets.map(({targetId}) => targetId)).toEqual(['t0']);
  });

  it('should halt a rule whose orders failed twice in a row', () => {
    const state = new FleetState();
    const {fence} = state.applyFence({kind: 'fleetFence', holder: 'c1'});
    const rule = ruleKey(rules().serveRules('planner')[0]!);
    const fail = (id: number) => {
      const change = {targetId: 't0', model: 'llama', version: 'v2', rule};
      state.applyOrder({kind: 'fleetOrder', fence, id, changes: [change]});
      const end = {fence, id, targetId: 't0', outcome: 'failed'} as const;
      state.applyEnd({kind: 'fleetEnd', ...end});
      return [...view(state, {}).halted];
    };
    expect([fail(1), fail(2)]).toEqual([[], ['llama']]);
  });
});
