import {MemberTable} from '../src/control/memberTable';
import type {PollAnswer} from '../src/core/wire';
import {AnnouncementTracker} from '../src/sync/announcementTracker';
import {SAMPLE_ANNOUNCEMENT} from './fixtures/sampleAnnouncement';

function replyOf(change: Partial<PollAnswer> = {}): PollAnswer {
  return {
    instanceId: 'control-0',
    bootId: 'control-boot-1',
    voter: true,
    voterCount: 3,
    term: 1,
    lastRevision: 1,
    announceAgain: false,
    ...change,
  };
}

/** State towards an instance that has acknowledged announcement 1. */
function afterFirstReply(): AnnouncementTracker {
  const announced = new AnnouncementTracker();
  announced.handleReply(announced.next(SAMPLE_ANNOUNCEMENT), replyOf());
  return announced;
}

describe('announcements sent by sequence number', () => {
  it('should send only the number when the instance has the announcement', () => {
    const {part} = afterFirstReply().next({
      ...SAMPLE_ANNOUNCEMENT,
      seq: 2,
      loadAgeMs: 5,
    });
    expect(part).toEqual({
      unchanged: {targetId: 'planner-0', agentBootId: 'boot-1', seq: 2},
    });
  });

  it.each([
    [
      'a field other than the number changed',
      (_: AnnouncementTracker) => ({outstanding: 1}),
    ],
    ['a reply was lost', (to: AnnouncementTracker) => void to.invalidate()],
    [
      'the instance restarted',
      (to: AnnouncementTracker) =>
        void to.handleReply(
          to.next({...SAMPLE_ANNOUNCEMENT, seq: 2}),
          replyOf({bootId: 'control-boot-2'})
        ),
    ],
    [
      'the instance does not support the short form',
      (to: AnnouncementTracker) =>
        void to.handleReply(
          to.next({...SAMPLE_ANNOUNCEMENT, seq: 2}),
          replyOf({announceAgain: undefined})
        ),
    ],
    [
      'the instance requested it',
      (to: AnnouncementTracker) =>
        void to.handleReply(
          to.next({...SAMPLE_ANNOUNCEMENT, seq: 2}),
          replyOf({announceAgain: true})
        ),
    ],
  ])('should send the whole announcement when %s', (_, act) => {
    const announced = afterFirstReply();
    const change = act(announced) ?? {};
    const {part} = announced.next({...SAMPLE_ANNOUNCEMENT, seq: 3, ...change});
    expect(part).toEqual({
      announcement: {...SAMPLE_ANNOUNCEMENT, seq: 3, ...change},
    });
  });

  it('should send the whole announcement after replies out of order', () => {
    // A target is idle, then busy, then idle again. The reply to the first poll
    // arrives last. If it counted as the newest, the agent would send only
    // numbers from then on, and the instance would keep "busy" for good.
    const announced = afterFirstReply();
    const idle = announced.next({...SAMPLE_ANNOUNCEMENT, seq: 2});
    const busy = announced.next({
      ...SAMPLE_ANNOUNCEMENT,
      seq: 3,
      outstanding: 9,
    });
    announced.handleReply(busy, replyOf());
    announced.handleReply(idle, replyOf());
    const {part} = announced.next({...SAMPLE_ANNOUNCEMENT, seq: 4});
    expect(part.announcement).toMatchObject({seq: 4, outstanding: 0});
  });
});

describe('a member table that receives an unchanged announcement', () => {
  const request = {
    processId: 'agent-0',
    role: 'agent',
    bootId: 'process-1',
    heldRevision: 1,
    availabilityZone: 'zone-a',
  } as const;
  const unchanged = {targetId: 'planner-0', agentBootId: 'boot-1', seq: 2};

  it('should keep the target listed', () => {
    const table = new MemberTable();
    table.handlePoll({...request, announcement: SAMPLE_ANNOUNCEMENT}, 0);
    expect(table.handlePoll({...request, unchanged}, 2_900)).toBe(true);
    table.expire(5_800);
    expect(table.listTargets()).toMatchObject([{seq: 2}]);
  });

  it.each([
    ['that was removed', unchanged],
    ['that has another boot', {...unchanged, agentBootId: 'boot-0'}],
  ])('should request the whole announcement of a target %s', (_, part) => {
    const table = new MemberTable();
    table.handlePoll({...request, announcement: SAMPLE_ANNOUNCEMENT}, 0);
    if (part === unchanged) table.expire(3_001);
    expect(table.handlePoll({...request, unchanged: part}, 3_002)).toBe(false);
  });
});
