import {CallContext} from '../src/core/callContext';
import type {Announcement} from '../src/core/wire';
import type {ClassifiedCall} from '../src/entry/call';
import type {EntryCore} from '../src/entry/entryCore';
import {route} from '../src/entry/route';
import {TargetLoad} from '../src/entry/targetLoad';
import {ZoneReturns} from '../src/entry/zoneReturns';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';
import {TargetDirectory} from '../src/sync/targetDirectory';
import {SAMPLE_ANNOUNCEMENT} from './fixtures/sampleAnnouncement';

const RULES = `revision 1 # asked by Aoife
pool planner engine # asked by Aoife
zone zone-b out # asked by Aoife
`;

const SERVES = `${RULES}serve planner llama version=v2 min=1 max=8 # asked by Una
serve planner phi version=v1 min=1 max=8 # asked by Una
`;

const rank = (
  index: number,
  change: Partial<Announcement> = {}
): Announcement => ({
  ...SAMPLE_ANNOUNCEMENT,
  targetId: `planner-${index}`,
  agentBootId: `boot-${index}`,
  outstanding: 1,
  modelVersion: 'v1',
  ...change,
});

const groupOf = (id: string, index: number) => ({
  group: {id, rank: index, ranks: 2, experts: 8, slots: 10},
});

/** The distinct targets chosen in 60 calls. */
function chosen(
  targets: readonly Announcement[],
  modelVersion?: string,
  {rules = RULES, model}: {rules?: string; model?: string} = {}
): ReadonlySet<string> {
  const directory = new TargetDirectory();
  const parsed = parseRules(rules);
  if (!parsed.ok) throw new Error('rules');
  const members = {version: 1, full: true, changed: targets, removed: []};
  const answer = {
    instanceId: 'c',
    bootId: 'b',
    voter: true,
    voterCount: 1,
    term: 1,
  };
  const revisions = {lastRevision: 1};
  directory.apply({...answer, ...revisions, members}, performance.now());
  let draw = 0;
  const core = {
    entryId: 'entry-1',
    availabilityZone: 'zone-a',
    sync: {directory},
    load: new TargetLoad(),
    zoneReturns: new ZoneReturns(),
    random: () => (draw = (draw + 0.381966) % 1),
  } as unknown as EntryCore;
  const call = {
    pool: 'planner',
    rules: new RuleIndex(parsed.ruleSet),
    chat: model && {model, promptTokens: 1, outputTokens: 1, prefixes: []},
    progress: new CallContext('r', performance.now() + 1_000, 'entry-1'),
  } as unknown as ClassifiedCall;
  const picks = Array.from({length: 60}, () =>
    route(core, call, new Set(), modelVersion)
  );
  return new Set(
    picks.map(pick => (pick.kind === 'target' ? pick.target.targetId : 'none'))
  );
}

describe('choice of a target by an entry', () => {
  // One slow rank slows down every pass of its group. The other ranks report no
  // slowdown, but callers sent to them would wait just as long.
  it('should avoid all ranks of a group with a straggler', () => {
    const slow = [
      rank(0, {...groupOf('g1', 0), slowdown: 4}),
      rank(1, groupOf('g1', 1)),
    ];
    const quick = [rank(2, groupOf('g2', 0)), rank(3, groupOf('g2', 1))];
    expect([...chosen([...slow, ...quick])].sort()).toEqual([
      'planner-2',
      'planner-3',
    ]);
  });

  it.each<[string, Partial<Announcement>]>([
    ['in a zone that is out', {availabilityZone: 'zone-b'}],
    ['that is leaving', {state: 'leaving'}],
    ['of another pool', {pool: 'allocation'}],
    ['that may run nothing', {limit: 0}],
  ])('should choose no target %s', (_, change) => {
    expect(chosen([rank(0, change)])).toEqual(new Set(['none']));
    expect(chosen([rank(0, change), rank(1)])).toEqual(new Set(['planner-1']));
  });

  it('should resume a stream at its own model version only', () => {
    const targets = [rank(0, {modelVersion: 'v2'}), rank(1)];
    expect(chosen(targets, 'v1')).toEqual(new Set(['planner-1']));
    expect(chosen(targets, 'v3')).toEqual(new Set(['none']));
  });

  // The targets of one pool hold different models. Without the check, a caller
  // would get the response of a model that it did not request.
  it('should choose only targets that hold the model where rules list models', () => {
    const targets = [rank(0, {model: 'llama'}), rank(1, {model: 'phi'})];
    const rules = SERVES;
    const of = (model: string) => chosen(targets, undefined, {rules, model});
    expect(of('phi')).toEqual(new Set(['planner-1']));
    expect(of('gone')).toEqual(new Set(['none']));
    const free = chosen(targets, undefined, {model: 'any'});
    expect(free.has('none')).toBe(false);
  });
});
