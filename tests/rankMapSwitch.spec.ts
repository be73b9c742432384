import type {EngineView} from '../src/agent/maps/rankMapSwitchEvents';
import {RankMapSwitch} from '../src/agent/maps/rankMapSwitch';
import type {PrepareMessage} from '../src/core/mapMessages';
import {
  decision,
  GROUP,
  MAP,
  actionNames,
  prepare,
  versionAt,
} from './mapFixtures';

const QUIET_MS = 100;

const VIEW: EngineView = {
  bootId: 'e1',
  running: true,
  step: 10,
  mapVersion: versionAt(2, 1),
};

class RankFixture {
  readonly machine = new RankMapSwitch({
    group: GROUP,
    rank: 3,
    agentBootId: 'a1',
    bootAtMs: 0,
    maxOrderDelayMs: QUIET_MS,
    retryIntervalMs: 10,
  });

  view(view: EngineView) {
    return actionNames(this.machine.handle({kind: 'engine', view}, 0));
  }

  tick(nowMs: number) {
    return actionNames(this.machine.handle({kind: 'tick'}, nowMs));
  }

  message(message: Parameters<typeof this.machine.handle>[0] & object) {
    return actionNames(this.machine.handle(message, 0));
  }

  receive(message: PrepareMessage | ReturnType<typeof decision>) {
    return this.message({kind: 'message', message});
  }

  join(attempt: string, fence = 2, current = versionAt(2, 1)) {
    const map = {version: current, switchStep: 5, map: MAP};
    return this.message({
      kind: 'message',
      message: {
        kind: 'joinAnswer',
        group: GROUP,
        attempt,
        fence,
        current: map,
      },
    });
  }

  prepared(nth: number, result: 'held' | 'passed' | 'failed', bootId = 'e1') {
    const version = versionAt(2, nth);
    return this.message({kind: 'prepared', bootId, version, result});
  }

  /** A rank that has joined with fence 2 and whose engine runs. */
  static ready(): RankFixture {
    const fixture = new RankFixture();
    fixture.view(VIEW);
    fixture.join('a1/0');
    return fixture;
  }
}

describe('map switch at a rank', () => {
  it('should promise only once the engine holds', () => {
    const rank = RankFixture.ready();
    expect(rank.receive(prepare(2, 2))).toEqual(['prepareEngine']);
    expect(rank.receive(prepare(2, 2))).toEqual([]);
    expect(rank.prepared(2, 'held')).toEqual(['promise']);
    expect(rank.receive(prepare(2, 2))).toEqual(['promise']);
  });

  it.each([
    ['passed', 'passed'],
    ['failed', 'load-failed'],
  ] as const)('should refuse when the engine answered %s', (result, reason) => {
    const rank = RankFixture.ready();
    rank.receive(prepare(2, 2));
    expect(rank.prepared(2, result)).toEqual([reason]);
  });

  // An order of a replaced controller arrives late at an engine that does not
  // check fences. If it were forwarded, it would undo the hold of the newer
  // switch, and this rank would run past the step at which all others change
  // maps.
  it('should refuse an order with an older fence', () => {
    const rank = new RankFixture();
    rank.view(VIEW);
    rank.join('a1/0', 3);
    expect(rank.receive(prepare(2, 9))).toEqual(['fenced']);
    expect(rank.receive(prepare(3, 1))).toEqual(['prepareEngine']);
  });

  // The agent restarts while its engine holds for a switch. An old order
  // arrives before the agent has received a fence. If it were forwarded, it
  // would undo a promise on which control may already have based its decision.
  it('should refuse orders after a restart until control has replied', () => {
    const rank = new RankFixture();
    rank.view({...VIEW, preparedVersion: versionAt(2, 2)});
    expect(rank.receive(prepare(2, 3))).toEqual(['unready']);
    expect(rank.tick(QUIET_MS - 1)).toEqual([]);
    expect(rank.tick(QUIET_MS)).toEqual(['join']);
    rank.join('a1/0');
    expect(rank.receive(prepare(2, 3))).toEqual(['busy', 'decisionQuery']);
    expect(rank.receive(decision(2, 2, 'abort'))).toEqual(['decideEngine']);
  });

  // The engine restarts after its promise. The reply to a join request from
  // before that restart arrives late and has the map from before the switch.
  it('should ignore the reply to an earlier attempt to join', () => {
    const rank = RankFixture.ready();
    rank.view({...VIEW, bootId: 'e2', running: false, mapVersion: 0});
    expect(rank.machine.ready).toBe(false);
    expect(rank.join('a1/0')).toEqual([]);
    expect(rank.join('a1/1', 2, versionAt(2, 2))).toEqual(['startEngine']);
    const started = {kind: 'started', bootId: 'e2'} as const;
    rank.message(started);
    expect(rank.machine.ready).toBe(true);
  });

  it('should ignore a response of the engine from before its restart', () => {
    const rank = RankFixture.ready();
    rank.receive(prepare(2, 2));
    rank.view({...VIEW, bootId: 'e2', running: false, mapVersion: 0});
    expect(rank.prepared(2, 'held')).toEqual([]);
  });

  // The earlier switch may have been committed because of this promise.
  it('should keep an undecided promise when another switch is prepared', () => {
    const rank = RankFixture.ready();
    rank.receive(prepare(2, 2));
    rank.prepared(2, 'held');
    expect(rank.receive(prepare(3, 1))).toEqual(['busy', 'decisionQuery']);
    expect(rank.tick(1000)).toEqual(['decisionQuery']);
  });

  // The engine has the decision but has not reached the switch step. Another
  // hold would replace the one that it needs for this switch.
  it('should accept the next order only when the engine runs with the last map', () => {
    const rank = RankFixture.ready();
    rank.receive(prepare(2, 2));
    rank.prepared(2, 'held');
    expect(rank.receive(decision(2, 2, 'commit'))).toEqual(['decideEngine']);
    rank.view({...VIEW, step: 20});
    expect(rank.receive(prepare(2, 3))).toEqual(['busy', 'decisionQuery']);
    rank.view({...VIEW, step: 21, mapVersion: versionAt(2, 2)});
    expect(rank.receive(prepare(2, 3))).toEqual(['prepareEngine']);
  });

  it('should resend the decision while the engine still holds', () => {
    const rank = RankFixture.ready();
    rank.receive(prepare(2, 2));
    rank.prepared(2, 'held');
    rank.receive(decision(2, 2, 'abort'));
    const held = {...VIEW, preparedVersion: versionAt(2, 2)};
    expect(rank.view(held)).toEqual(['decideEngine']);
    expect(rank.view(VIEW)).toEqual([]);
    expect(rank.receive(prepare(2, 2))).toEqual(['fenced']);
  });

  // The leader fails after it has prepared a switch. Its successor stages
  // weights with a higher fence and then aborts the switch. An engine that
  // checks fences would reject the abort with the fence of the switch and hold
  // at its step forever, and with it the whole group.
  it('should forward a decision with the newest fence', () => {
    const rank = RankFixture.ready();
    rank.receive(prepare(2, 2));
    rank.prepared(2, 'held');
    const order = {kind: 'stage', group: GROUP, slot: 0, expert: 7} as const;
    rank.message({kind: 'message', message: {...order, fence: 3}});
    const message = decision(2, 2, 'abort');
    expect(rank.machine.handle({kind: 'message', message}, 0)).toMatchObject([
      {kind: 'decideEngine', fence: 3, id: {fence: 2}, decision: 'abort'},
    ]);
  });

  it('should stage weights only with a fence that is not outdated', () => {
    const rank = RankFixture.ready();
    const order = {kind: 'stage', group: GROUP, slot: 0, expert: 7} as const;
    const stage = (fence: number) =>
      rank.message({kind: 'message', message: {...order, fence}});
    expect(stage(1)).toEqual(['staged']);
    expect(stage(2)).toEqual(['stageEngine']);
  });
});
