import {MEMBER_TTL_MS, MemberTable} from '../src/control/memberTable';
import type {Announcement, PollRequest} from '../src/core/wire';
import {TargetDirectory} from '../src/sync/targetDirectory';
import {buildAnnouncement, applyAnnouncements} from './fixtures/announcements';

function poll(announcement: Announcement): PollRequest {
  const {targetId: processId, availabilityZone} = announcement;
  const own = {processId, availabilityZone, bootId: 'b', heldRevision: 1};
  return {...own, role: 'agent', announcement};
}

const LEAVING = buildAnnouncement({seq: 5, state: 'leaving'});

// Announcements arrive late, repeated and out of order. An old one must not
// bring back a target that is leaving or was removed.
const ANNOUNCEMENT_ORDERS = [
  [
    'an older announcement after leaving',
    [LEAVING, buildAnnouncement({seq: 4})],
    'leaving',
  ],
  [
    'a later announcement of the same boot',
    [LEAVING, buildAnnouncement({seq: 6})],
    'leaving',
  ],
  [
    'an announcement of an earlier boot',
    [
      LEAVING,
      buildAnnouncement({seq: 9, agentBootId: 'boot-0', agentBootAtMs: 500}),
    ],
    'leaving',
  ],
  [
    'an announcement of the next boot',
    [LEAVING, buildAnnouncement({agentBootId: 'boot-2', agentBootAtMs: 2_000})],
    'serving',
  ],
] as const;

describe('member table of a control instance', () => {
  it.each(ANNOUNCEMENT_ORDERS)(
    'should resolve %s',
    (_, announcements, state) => {
      const table = new MemberTable();
      for (const one of announcements) table.handlePoll(poll(one), 0);
      expect(table.listTargets().map(one => one.state)).toEqual([state]);
    }
  );

  it('should remove a silent target and not restore it by an old announcement', () => {
    const table = new MemberTable();
    table.handlePoll(poll(buildAnnouncement({seq: 3})), 0);
    const {version} = table.changesSince(undefined);
    table.expire(MEMBER_TTL_MS + 1);
    expect(table.changesSince(version).removed).toEqual(['planner-0']);
    table.handlePoll(poll(buildAnnouncement({seq: 2})), MEMBER_TTL_MS + 2);
    expect(table.listTargets()).toEqual([]);
    table.handlePoll(poll(buildAnnouncement({seq: 4})), MEMBER_TTL_MS + 3);
    expect(table.listTargets()).toHaveLength(1);
  });
});

describe('directory of an entry', () => {
  // Two instances received different announcements. The older one must not win,
  // whichever instance replied last.
  it.each(ANNOUNCEMENT_ORDERS)(
    'should resolve %s',
    (_, announcements, state) => {
      for (const order of [announcements, [...announcements].reverse()]) {
        const directory = new TargetDirectory();
        order.forEach((one, i) =>
          applyAnnouncements(directory, `control-${i}`, [one])
        );
        expect(directory.list().map(one => one.state)).toEqual([state]);
      }
    }
  );

  it('should drop the view of an instance that stopped replying', () => {
    const directory = new TargetDirectory();
    applyAnnouncements(
      directory,
      'control-0',
      [buildAnnouncement({targetId: 'old'})],
      0
    );
    applyAnnouncements(
      directory,
      'control-1',
      [buildAnnouncement({targetId: 'new'})],
      6_000
    );
    directory.expire(6_000);
    expect(directory.list().map(one => one.targetId)).toEqual(['new']);
    directory.expire(60_000);
    expect(directory.list()).toHaveLength(1);
  });
});
