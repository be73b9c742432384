import {MemberTable} from '../src/control/memberTable';
import type {PollAnswer} from '../src/core/wire';
import {AnnouncedTo} from '../src/sync/announced';
import {ANNOUNCED} from './fixtures/announced';

function answerOf(change: Partial<PollAnswer> = {}): PollAnswer {
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

/** An instance that holds announcement 1. */
function holdsOne(): AnnouncedTo {
  const announced = new AnnouncedTo();
  announced.answered(announced.next(ANNOUNCED), answerOf());
  return announced;
}

describe('announcements by number', () => {
  it('should send only the number of an announcement that the instance holds', () => {
    const {part} = holdsOne().next({...ANNOUNCED, seq: 2, loadAgeMs: 5});
    expect(part).toEqual({
      unchanged: {targetId: 'planner-0', agentBootId: 'boot-1', seq: 2},
    });
  });

  it.each([
    ['it says something new', (_: AnnouncedTo) => ({outstanding: 1})],
    ['an answer was lost', (to: AnnouncedTo) => void to.lost()],
    [
      'the instance restarted',
      (to: AnnouncedTo) =>
        void to.answered(
          to.next({...ANNOUNCED, seq: 2}),
          answerOf({bootId: 'control-boot-2'})
        ),
    ],
    [
      'the instance says nothing of the short form',
      (to: AnnouncedTo) =>
        void to.answered(
          to.next({...ANNOUNCED, seq: 2}),
          answerOf({announceAgain: undefined})
        ),
    ],
    [
      'the instance asked for it',
      (to: AnnouncedTo) =>
        void to.answered(
          to.next({...ANNOUNCED, seq: 2}),
          answerOf({announceAgain: true})
        ),
    ],
  ])('should send it whole when %s', (_, happen) => {
    const announced = holdsOne();
    const change = happen(announced) ?? {};
    const {part} = announced.next({...ANNOUNCED, seq: 3, ...change});
    expect(part).toEqual({announcement: {...ANNOUNCED, seq: 3, ...change}});
  });

  it('should send it whole after answers that came in reverse', () => {
    // A target turns busy and idle again. The poll that says idle is asked
    // first and answered last: taken as the newest, it would leave the
    // instance with "busy" confirmed for good.
    const announced = holdsOne();
    const idle = announced.next({...ANNOUNCED, seq: 2});
    const busy = announced.next({...ANNOUNCED, seq: 3, outstanding: 9});
    announced.answered(busy, answerOf());
    announced.answered(idle, answerOf());
    const {part} = announced.next({...ANNOUNCED, seq: 4});
    expect(part.announcement).toMatchObject({seq: 4, outstanding: 0});
  });
});

describe('an instance told that nothing changed', () => {
  const request = {
    processId: 'agent-0',
    role: 'agent',
    bootId: 'process-1',
    heldRevision: 1,
    availabilityZone: 'zone-a',
  } as const;
  const unchanged = {targetId: 'planner-0', agentBootId: 'boot-1', seq: 2};

  it('should go on listing the target', () => {
    const table = new MemberTable();
    table.heard({...request, announcement: ANNOUNCED}, 0);
    expect(table.heard({...request, unchanged}, 2_900)).toBe(true);
    table.expire(5_800);
    expect(table.listTargets()).toMatchObject([{seq: 2}]);
  });

  it.each([
    ['it dropped for silence', unchanged],
    ['of another boot', {...unchanged, agentBootId: 'boot-0'}],
  ])('should ask again for a target %s', (_, part) => {
    const table = new MemberTable();
    table.heard({...request, announcement: ANNOUNCED}, 0);
    if (part === unchanged) table.expire(3_001);
    expect(table.heard({...request, unchanged: part}, 3_002)).toBe(false);
  });
});
