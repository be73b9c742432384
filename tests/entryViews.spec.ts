import {EntryViews, ZoneStatus} from '../src/control/entryViews';
import {MemberTable} from '../src/control/memberTable';
import {PeerError} from '../src/core/errors';
import type {Announcement, PollAnswer, PollRequest} from '../src/core/wire';
import type {LocateAnswer} from '../src/rpc/messages';
import {locateTarget} from '../src/sync/locateTarget';
import {TargetDirectory} from '../src/sync/targetDirectory';
import {buildAnnouncement} from './fixtures/announcements';

const SIZE = 4;
const TARGETS = 40;
const ALL_IN_SERVICE: ZoneStatus = {revision: 1, isZoneOut: () => false};

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

/** A control instance with targets in two zones and one entry that polls it. */
class ControlFixture {
  readonly members = new MemberTable();
  readonly views = new EntryViews(this.members);
  zones = ALL_IN_SERVICE;
  private readonly directory = new TargetDirectory();
  private seq = 0;

  constructor(private readonly size = SIZE) {
    for (let i = 0; i < TARGETS; i++) this.receive(`planner-${i}`);
  }

  receive(targetId: string, change: Partial<Announcement> = {}): void {
    const i = Number(targetId.split('-')[1]);
    const announcement = buildAnnouncement({
      targetId,
      availabilityZone: i % 2 === 0 ? 'zone-a' : 'zone-b',
      seq: ++this.seq,
      ...change,
    });
    const agent = {processId: `agent-${i}`, role: 'agent'} as const;
    this.members.handlePoll(poll({...agent, announcement}), 0);
  }

  /** What the entry holds after the replies that arrived. */
  get held(): ReadonlyMap<string, Announcement> {
    return new Map(this.directory.list().map(one => [one.targetId, one]));
  }

  queryChanges() {
    const {views, size, zones} = this;
    const since = this.directory.cursorFor('control-0')?.version;
    return views.changesFor(poll({subset: size}), since, zones, 0);
  }

  /** Polls once; the reply arrives as it is on the wire. */
  poll() {
    const members = this.queryChanges();
    const answer = {instanceId: 'control-0', bootId: 'b', members};
    this.directory.apply(JSON.parse(JSON.stringify(answer)) as PollAnswer, 0);
    return members;
  }
}

describe('targets sent to one entry', () => {
  it('should be limited to its subset', () => {
    const instance = new ControlFixture();
    expect(instance.poll()).toMatchObject({full: true});
    expect([SIZE, SIZE + 1]).toContain(instance.held.size);
    const held = [...instance.held.keys()];
    for (let i = 0; i < TARGETS; i++)
      if (!held.includes(`planner-${i}`))
        instance.receive(`planner-${i}`, {temperature: 'warming'});
    expect(instance.poll()).toEqual({version: expect.any(Number)});
    instance.receive(held[0]!, {temperature: 'warming'});
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

  it.each<[string, (instance: ControlFixture) => void]>([
    [
      'leaves',
      instance => {
        for (const id of instance.held.keys())
          instance.receive(id, {state: 'leaving'});
      },
    ],
    [
      'has a limit of 0',
      instance => {
        for (const id of instance.held.keys()) instance.receive(id, {limit: 0});
      },
    ],
    [
      'is in zones that went out',
      instance => {
        instance.zones = {revision: 2, isZoneOut: zone => zone === 'zone-a'};
      },
    ],
  ])(
    'should be replaced at once when its whole subset %s',
    (_, disableTargets) => {
      // An entry loses every target of its subset while the pool has others. It
      // would refuse all calls, and retries at the same entry would not help.
      const instance = new ControlFixture();
      instance.poll();
      disableTargets(instance);
      instance.poll();
      const usable = [...instance.held.values()].filter(
        ({state, limit, availabilityZone}) =>
          state === 'serving' &&
          limit > 0 &&
          !instance.zones.isZoneOut(availabilityZone)
      );
      expect(usable.length).toBeGreaterThanOrEqual(SIZE);
    }
  );

  it('should be sent whole again after a lost reply', () => {
    // The subset changes and the reply with the change is lost. If only later
    // changes were sent, the entry would keep a target that left its subset and
    // never receive its removal.
    const instance = new ControlFixture();
    instance.poll();
    const [left] = instance.held.keys();
    instance.receive(left!, {state: 'leaving'});
    instance.queryChanges();
    instance.poll();
    expect(instance.held.has(left!)).toBe(false);
    expect(instance.held.size).toBeGreaterThanOrEqual(SIZE);
  });

  it('should be requested whole after an update that does not apply', () => {
    // Two replies arrive out of order and an update names a target that the
    // entry has dropped. If the entry regarded its directory as up to date, it
    // would never follow that target again.
    const directory = new TargetDirectory();
    const members = {version: 7, updated: [{targetId: 'planner-1', set: {}}]};
    const answer = {instanceId: 'control-0', bootId: 'b', members};
    directory.apply(answer as unknown as PollAnswer, 0);
    expect(directory.cursorFor('control-0')?.version).not.toBe(7);
  });

  it('should include all targets of a small pool, also leaving ones', () => {
    const instance = new ControlFixture(TARGETS);
    instance.poll();
    instance.receive('planner-3', {state: 'leaving'});
    instance.poll();
    expect(instance.held.get('planner-3')?.state).toBe('leaving');
    expect(instance.held.size).toBe(TARGETS);
  });

  it('should have the slowdown of the slowest rank of the group', () => {
    // One rank of a group is slow and the entry follows other ranks only. It
    // would send work to a group whose passes take three times as long.
    const instance = new ControlFixture();
    const shape = {id: 'group-1', ranks: TARGETS, experts: 8, slots: 80};
    const rank = (id: string, slowdown?: number) => {
      const group = {...shape, rank: Number(id.split('-')[1])};
      instance.receive(id, {group, slowdown, agentBootId: `boot-${slowdown}`});
    };
    for (let i = 0; i < TARGETS; i++) rank(`planner-${i}`);
    instance.poll();
    const slowdowns = () => [
      ...new Set([...instance.held.values()].map(one => one.slowdown ?? 1)),
    ];
    const other = Array.from({length: TARGETS}, (_, i) => `planner-${i}`).find(
      id => !instance.held.has(id)
    );
    for (const slowdown of [3, undefined]) {
      rank(other!, slowdown);
      instance.poll();
      expect(slowdowns()).toEqual([slowdown ?? 1]);
    }
  });
});

describe('a target that the entry does not follow', () => {
  const found = async (seq: number): Promise<LocateAnswer> => ({
    announcement: buildAnnouncement({seq}),
  });
  const none = async (): Promise<LocateAnswer> => ({});
  const unreachable = (): Promise<LocateAnswer> =>
    Promise.reject(new PeerError({kind: 'timeout'}, 'locate', 'c', ''));

  // Once its target is gone, a claim is settled as "outcome unknown" for good.
  // If a target counted as gone while control is only unreachable, a response
  // that the agent still holds would never reach its caller.
  it.each([
    ['found', 'one instance knows it', [none, unreachable, () => found(1)]],
    ['gone', 'a majority does not know it', [none, none, unreachable]],
    ['unknown', 'too few instances reply', [none, unreachable, unreachable]],
  ])('should be %s when %s', async (kind, _, instances) => {
    expect(await locateTarget(instances)).toMatchObject({kind});
  });

  it('should be located by its newest announcement', async () => {
    const located = await locateTarget([() => found(1), () => found(2)]);
    expect(located).toMatchObject({announcement: {seq: 2}});
  });
});
