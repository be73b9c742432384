import {MEMBER_TTL_MS, MemberTable} from '../src/control/memberTable';
import type {Announcement, PollRequest} from '../src/core/wire';
import {TargetDirectory} from '../src/sync/targetDirectory';
import {announce, tell} from './fixtures/announcements';

function poll(announcement: Announcement): PollRequest {
  const {targetId: processId, availabilityZone} = announcement;
  const own = {processId, availabilityZone, bootId: 'b', heldRevision: 1};
  return {...own, role: 'agent', announcement};
}

const LEAVING = announce({seq: 5, state: 'leaving'});

// Announcements are late, repeated and out of order. A target that said
// goodbye, or fell silent, must not be brought back by an old one.
const ORDERS = [
  ['an older one after the goodbye', [LEAVING, announce({seq: 4})], 'leaving'],
  ['a later one of the same boot', [LEAVING, announce({seq: 6})], 'leaving'],
  [
    'one of an earlier boot',
    [LEAVING, announce({seq: 9, agentBootId: 'boot-0', agentBootAtMs: 500})],
    'leaving',
  ],
  [
    'one of the next boot',
    [LEAVING, announce({agentBootId: 'boot-2', agentBootAtMs: 2_000})],
    'serving',
  ],
] as const;

describe('member table of a control instance', () => {
  it.each(ORDERS)('should judge %s', (_, announcements, state) => {
    const table = new MemberTable();
    for (const one of announcements) table.heard(poll(one), 0);
    expect(table.listTargets().map(one => one.state)).toEqual([state]);
  });

  it('should drop a silent target and not revive it by an old word', () => {
    const table = new MemberTable();
    table.heard(poll(announce({seq: 3})), 0);
    const {version} = table.changesSince(undefined);
    table.expire(MEMBER_TTL_MS + 1);
    expect(table.changesSince(version).removed).toEqual(['planner-0']);
    table.heard(poll(announce({seq: 2})), MEMBER_TTL_MS + 2);
    expect(table.listTargets()).toEqual([]);
    table.heard(poll(announce({seq: 4})), MEMBER_TTL_MS + 3);
    expect(table.listTargets()).toHaveLength(1);
  });
});

describe('directory of an entry', () => {
  // Two instances heard different things; the one that is behind must not win,
  // whichever of them answered last.
  it.each(ORDERS)('should judge %s', (_, announcements, state) => {
    for (const order of [announcements, [...announcements].reverse()]) {
      const directory = new TargetDirectory();
      order.forEach((one, i) => tell(directory, `control-${i}`, [one]));
      expect(directory.list().map(one => one.state)).toEqual([state]);
    }
  });

  it('should drop the view of an instance that fell silent', () => {
    const directory = new TargetDirectory();
    tell(directory, 'control-0', [announce({targetId: 'old'})], 0);
    tell(directory, 'control-1', [announce({targetId: 'new'})], 6_000);
    directory.expire(6_000);
    expect(directory.list().map(one => one.targetId)).toEqual(['new']);
    directory.expire(60_000);
    expect(directory.list()).toHaveLength(1);
  });
});
