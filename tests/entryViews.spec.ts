import {EntryViews, ZoneStatus} from '../src/control/entryViews';
import {MemberTable} from '../src/control/memberTable';
import {PeerError} from '../src/core/errors';
import type {Announcement, PollAnswer, PollRequest} from '../src/core/wire';
import type {LocateAnswer} from '../src/rpc/messages';
import {locateTarget} from '../src/sync/locateTarget';
import {TargetDirectory} from '../src/sync/targetDirectory';
import {announce} from './fixtures/announcements';

const SIZE = 4;
const TARGETS = 40;
const ALL_IN: ZoneStatus = {revision: 1, isZoneOut: () => false};

function poll(change: Partial<PollRequest>): PollRequest {
  return {
    processId: 'entry-0',
    role: 'entry',
    bootId: 'process-1',
    heldRevision: 1,
    availabilityZone: 'zone-a',
    ...change,
  };
}

/** An instance with targets in two zones, and the entry that asks it. */
class Instance {
  readonly members = new MemberTable();
  readonly views = new EntryViews(this.members);
  zones = ALL_IN;
  private readonly directory = new TargetDirectory();
  private seq = 0;

  constructor(private readonly size = SIZE) {
    for (let i = 0; i < TARGETS; i++) this.hear(`planner-${i}`);
  }

  hear(targetId: string, change: Partial<Announcement> = {}): void {
    const i = Number(targetId.split('-')[1]);
    const announcement = announce({
      targetId,
      availabilityZone: i % 2 === 0 ? 'zone-a' : 'zone-b',
      seq: ++this.seq,
      ...change,
    });
    const agent = {processId: `agent-${i}`, role: 'agent'} as const;
    this.members.heard(poll({...agent, announcement}), 0);
  }

  /** What the entry holds after the answers that arrived. */
  get held(): ReadonlyMap<string, Announcement> {
    return new Map(this.directory.list().map(one => [one.targetId, one]));
  }

  ask() {
    const {views, size, zones} = this;
    const since = this.directory.heldFrom('control-0')?.version;
    return views.changesFor(poll({subset: size}), since, zones, 0);
  }

  /** The answer arrives, as it is on the wire. */
  poll() {
    const members = this.ask();
    const answer = {instanceId: 'control-0', bootId: 'b', members};
    this.directory.apply(JSON.parse(JSON.stringify(answer)) as PollAnswer, 0);
    return members;
  }
}

describe('targets told to one entry', () => {
  it('should be its subset, and nothing of the others', () => {
    const instance = new Instance();
    expect(instance.poll()).toMatchObject({full: true});
    expect([SIZE, SIZE + 1]).toContain(instance.held.size);
    const held = [...instance.held.keys()];
    for (let i = 0; i < TARGETS; i++)
      if (!held.includes(`planner-${i}`))
        instance.hear(`planner-${i}`, {temperature: 'warming'});
    expect(instance.poll()).toEqual({version: expect.any(Number)});
    instance.hear(held[0]!, {temperature: 'warming'});
    expect(instance.poll()).toEqual({
      version: expect.any(Number),
      updated: [
        {
          targetId: held[0],
          set: {temperature: 'warming', seq: expect.any(Number)},
        },
      ],
    });
    expect(instance.held.get(held[0]!)?.temperature).toBe('warming');
  });

  it.each<[string, (instance: Instance) => void]>([
    [
      'left',
      instance => {
        for (const id of instance.held.keys())
          instance.hear(id, {state: 'leaving'});
      },
    ],
    [
      'turned cold',
      instance => {
        for (const id of instance.held.keys()) instance.hear(id, {limit: 0});
      },
    ],
    [
      'stands in zones that went out',
      instance => {
        instance.zones = {revision: 2, isZoneOut: zone => zone === 'zone-a'};
      },
    ],
  ])('should be others at once when all it followed %s', (_, lose) => {
    // An entry loses every target of its subset while the pool has others. It
    // would refuse all calls, and no retry at the same entry would help.
    const instance = new Instance();
    instance.poll();
    lose(instance);
    instance.poll();
    const able = [...instance.held.values()].filter(
      ({state, limit, availabilityZone}) =>
        state === 'serving' &&
        limit > 0 &&
        !instance.zones.isZoneOut(availabilityZone)
    );
    expect(able.length).toBeGreaterThanOrEqual(SIZE);
  });

  it('should be told whole again after a lost answer', () => {
    // The subset changes, and the answer that says so is lost. Told only what
    // changed since, the entry would keep a target that left its subset, and
    // never hear that it is gone.
    const instance = new Instance();
    instance.poll();
    const [left] = instance.held.keys();
    instance.hear(left!, {state: 'leaving'});
    instance.ask();
    instance.poll();
    expect(instance.held.has(left!)).toBe(false);
    expect(instance.held.size).toBeGreaterThanOrEqual(SIZE);
  });

  it('should be asked for whole after an update that does not fit', () => {
    // Two answers come in reverse, so that an update names a target that the
    // entry has dropped. Taken for up to date, it would never follow it again.
    const directory = new TargetDirectory();
    const members = {version: 7, updated: [{targetId: 'planner-1', set: {}}]};
    const answer = {instanceId: 'control-0', bootId: 'b', members};
    directory.apply(answer as unknown as PollAnswer, 0);
    expect(directory.heldFrom('control-0')?.version).not.toBe(7);
  });

  it('should be the whole of a small pool, leaving targets among them', () => {
    const instance = new Instance(TARGETS);
    instance.poll();
    instance.hear('planner-3', {state: 'leaving'});
    instance.poll();
    expect(instance.held.get('planner-3')?.state).toBe('leaving');
    expect(instance.held.size).toBe(TARGETS);
  });

  it('should go at the pace of the slowest rank of the group', () => {
    // One rank of a group is slow, and the entry follows other ranks only. It
    // would send work to a group that steps at a third of its pace.
    const instance = new Instance();
    const shape = {id: 'group-1', ranks: TARGETS, experts: 8, slots: 80};
    const rank = (id: string, slowdown?: number) => {
      const group = {...shape, rank: Number(id.split('-')[1])};
      instance.hear(id, {group, slowdown, agentBootId: `boot-${slowdown}`});
    };
    for (let i = 0; i < TARGETS; i++) rank(`planner-${i}`);
    instance.poll();
    const paces = () => [
      ...new Set([...instance.held.values()].map(one => one.slowdown ?? 1)),
    ];
    const other = Array.from({length: TARGETS}, (_, i) => `planner-${i}`).find(
      id => !instance.held.has(id)
    );
    for (const slowdown of [3, undefined]) {
      rank(other!, slowdown);
      instance.poll();
      expect(paces()).toEqual([slowdown ?? 1]);
    }
  });
});

describe('a target that the entry does not follow', () => {
  const found = async (seq: number): Promise<LocateAnswer> => ({
    announcement: announce({seq}),
  });
  const none = async (): Promise<LocateAnswer> => ({});
  const silent = (): Promise<LocateAnswer> =>
    Promise.reject(new PeerError({kind: 'timeout'}, 'locate', 'c', ''));

  // A claim is settled as "outcome unknown" for good once its target is gone.
  // Taken for gone when control is merely silent, an answer that the agent
  // still holds would never reach its caller.
  it.each([
    ['found', 'one instance knows it', [none, silent, () => found(1)]],
    ['gone', 'a majority does not know it', [none, none, silent]],
    ['unknown', 'too few answer', [none, silent, silent]],
  ])('should be %s when %s', async (kind, _, instances) => {
    expect(await locateTarget(instances)).toMatchObject({kind});
  });

  it('should be where its newest announcement says', async () => {
    const located = await locateTarget([() => found(1), () => found(2)]);
    expect(located).toMatchObject({announcement: {seq: 2}});
  });
});
