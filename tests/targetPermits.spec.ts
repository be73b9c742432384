import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import type {PermitDemand, PermitTarget} from '../src/policy/targetPermits';
import {TargetPermits} from '../src/policy/targetPermits';

const SLOTS = 4;

function targets(count: number, zones = ['a']): PermitTarget[] {
  return Array.from({length: count}, (_, i) => ({
    id: `t${i}`,
    capacity: SLOTS,
    availabilityZone: zones[i % zones.length] ?? 'a',
    group: 'g',
  }));
}

function demand(
  node: string,
  concurrency: number,
  inUse = {},
  excluded: readonly string[] = []
) {
  return {
    node,
    availabilityZone: 'a',
    concurrency,
    inUse,
    excluded: new Set(excluded),
  };
}

function renew(
  permits: TargetPermits,
  demand: PermitDemand,
  all: readonly PermitTarget[]
) {
  permits.setTargets(all);
  return permits.renew(demand);
}

/**
 * Nodes use and release permits at random; returns how often a target had more
 * requests than slots.
 */
function play(seed: number, targetCount: number, nodeCount: number) {
  const generator = xorshift128plus(seed);
  const random = (below: number) => Math.abs(generator.next()) % below;
  const all = targets(targetCount, ['a', 'b']);
  const permits = new TargetPermits();
  const inUse = Array.from(
    {length: nodeCount},
    () => ({}) as Record<string, number>
  );
  let overfull = 0;
  for (let step = 0; step < 1_500; step++) {
    const i = random(nodeCount);
    const concurrency = 1 + random((2 * targetCount * SLOTS) / nodeCount);
    const used = inUse[i] ?? {};
    for (const id of Object.keys(used))
      if (random(3) === 0) used[id] = Math.max(0, (used[id] ?? 0) - 1);
    const held = renew(
      permits,
      {
        node: `n${i}`,
        availabilityZone: i % 2 ? 'a' : 'b',
        concurrency,
        inUse: used,
        excluded: new Set<string>(),
      },
      all
    );
    for (const [id, count] of held) used[id] = random(count + 1);
    if (step % 5 > 0) continue;
    for (const {id} of all) {
      const sum = inUse.reduce((total, one) => total + (one[id] ?? 0), 0);
      if (sum > SLOTS) overfull++;
    }
  }
  return overfull;
}

describe('permits for the slots of targets', () => {
  // Nodes that each choose the slot that looks free send two requests to it, and one
  // of them waits for the whole duration of the other.
  it('should never let two nodes use one slot', () => {
    for (let seed = 1; seed <= 3; seed++) expect(play(seed, 129, 39)).toBe(0);
    expect(play(6, 12, 7)).toBe(0);
  });

  it('should spread permits evenly over the targets', () => {
    const permits = new TargetPermits();
    const held = renew(permits, demand('n', 18), targets(6));
    expect([...held.values()]).toEqual([3, 3, 3, 3, 3, 3]);
  });

  it('should prefer targets of the local zone until they are fuller by a fifth', () => {
    const permits = new TargetPermits();
    const held = renew(permits, demand('n', 4), targets(4, ['a', 'b']));
    expect(held.get('t0')).toBe(1);
    expect(held.get('t2')).toBe(1);
    expect(held.get('t1')).toBe(1);
  });

  // A busy node immediately needs the slots that another node no longer uses.
  it('should assign returned permits to the next node that reports', () => {
    const permits = new TargetPermits();
    const all = targets(2);
    renew(permits, demand('idle', 8), all);
    expect(renew(permits, demand('busy', 4), all).size).toBe(0);
    renew(permits, demand('idle', 2, {t0: 1}), all);
    const held = renew(permits, demand('busy', 6), all);
    expect([...held.values()].reduce((sum, count) => sum + count, 0)).toBe(6);
  });

  it('should keep the permits of running requests', () => {
    const permits = new TargetPermits();
    const held = renew(permits, demand('n', 1, {t0: 3}), targets(2));
    expect(held.get('t0')).toBe(3);
  });

  // A node is lost while it holds permits. If they were not revoked, the other nodes
  // could never use those slots again.
  it('should revoke the permits of lost nodes', () => {
    const permits = new TargetPermits();
    renew(permits, demand('lost', 8), targets(2));
    permits.retain(new Set(['n']));
    const held = renew(permits, demand('n', 8), targets(2));
    expect([...held.values()]).toEqual([4, 4]);
  });

  // Ranks return after an outage. No node has permits for them, and nodes that hold
  // their maximum would never get one.
  it('should move unused permits to a target that has returned', () => {
    const permits = new TargetPermits();
    renew(permits, demand('n', 4), targets(1));
    for (let i = 0; i < 3; i++) renew(permits, demand('n', 4), targets(2));
    const held = renew(permits, demand('n', 4), targets(2));
    expect(held.get('t1')).toBe(2);
  });
});

describe('permits for groups of targets', () => {
  const twoGroups = [
    ...targets(3),
    ...targets(3).map(one => ({...one, id: `h${one.id}`, group: 'h'})),
  ];
  const held = (permits: ReadonlyMap<string, number>, group: string) =>
    [...permits]
      .filter(([id]) => id.startsWith('h') === (group === 'h'))
      .reduce((sum, [, count]) => sum + count, 0);

  // A rank of one group is slow. Requests beyond the limit of that group must go to
  // the other one instead of waiting for slots that stay empty.
  it('should assign permits in the group that has room', () => {
    const permits = new TargetPermits();
    permits.setTargets(twoGroups, new Map([['g', 2]]));
    const given = permits.renew(demand('n', 12));
    expect(held(given, 'g')).toBe(2);
    expect(held(given, 'h')).toBe(10);
  });

  // Requests in a slow group end one by one, and none of them may be followed by
  // another request there.
  it('should return no permits in a group that exceeds its limit', () => {
    const permits = new TargetPermits();
    permits.setTargets(twoGroups);
    const before = permits.renew(demand('n', 24));
    expect(held(before, 'g')).toBe(12);
    permits.setTargets(twoGroups, new Map([['g', 2]]));
    const inUse = {t0: 4, t1: 4, t2: 3, ht0: 1};
    expect(held(permits.renew(demand('n', 24, inUse)), 'g')).toBe(0);
    const fewer = permits.renew(demand('n', 24, {t0: 1, ht0: 1}));
    expect(held(fewer, 'g')).toBe(2);
    expect(held(fewer, 'h')).toBe(12);
  });

  it('should move unused permits within a group that is full', () => {
    const permits = new TargetPermits();
    permits.setTargets(twoGroups.slice(0, 1), new Map([['g', 4]]));
    permits.renew(demand('n', 4));
    permits.setTargets(twoGroups.slice(0, 2), new Map([['g', 4]]));
    expect(permits.renew(demand('n', 4)).get('t1')).toBeGreaterThan(0);
  });

  // A target asked one node for rest. With its permits left there, the node presses on
  // slots that other nodes hold, and nobody uses these.
  it('should move unused permits from a target that rests for the node', () => {
    const permits = new TargetPermits();
    const all = targets(2);
    const atRest = (inUse = {}) => demand('n', 4, inUse, ['t0']);
    expect(renew(permits, demand('n', 4), all).get('t0')).toBe(2);
    renew(permits, atRest({t0: 1}), all);
    const held = renew(permits, atRest({t0: 1}), all);
    expect([...held]).toEqual([
      ['t0', 1],
      ['t1', 3],
    ]);
    const others = renew(permits, demand('m', 4), all);
    expect(others.get('t0')).toBe(3);
  });
});
