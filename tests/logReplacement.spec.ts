import {Driven, EMPTY, MEMBER, OPTIONS, sent} from './drivenLog';

const AFTER_MS = 8_000;
const STEP_MS = 200;

/** A leader whose peer c is silent, and what is to happen with it. */
function leaderWith(keepVoters: number, peers: () => readonly string[]) {
  const voterEviction = {afterMs: AFTER_MS, keepVoters};
  const options = {...OPTIONS, peerIds: peers, voterEviction};
  const log = new Driven(MEMBER, true, options);
  log.lead();
  log.matched('b/1', log.status.lastIndex);
  return log;
}

/** Time passes, in which these answer and c does not. */
function wait(log: Driven, ms: number, answering = ['b/1']): void {
  for (let past = 0; past < ms; past += STEP_MS) {
    log.after(STEP_MS);
    for (const one of answering) log.matched(one, log.status.lastIndex);
  }
}

describe('instances that are replaced at another address', () => {
  // A machine is gone for good, and an empty one comes elsewhere. Left among
  // the voters, the old one would count as a loss for ever: the next loss, which
  // the deployment says it bears, would stop all changes.
  it('should drop a voter that fell silent once enough remain', () => {
    const log = leaderWith(2, () => ['b', 'c']);
    wait(log, AFTER_MS + 2 * STEP_MS);
    expect(log.status.voterIds).toEqual(['a', 'b']);
  });

  it('should keep it while too few would remain', () => {
    const log = leaderWith(3, () => ['b', 'c']);
    wait(log, 3 * AFTER_MS);
    expect(log.status.voterIds).toEqual(['a', 'b', 'c']);
  });

  it('should keep a voter that was away for a shorter time', () => {
    const log = leaderWith(2, () => ['b', 'c']);
    wait(log, AFTER_MS - 2 * STEP_MS);
    log.matched('c/1', 1);
    wait(log, AFTER_MS - 2 * STEP_MS);
    expect(log.status.voterIds).toEqual(['a', 'b', 'c']);
  });

  // The newcomer tells any node of itself. It gets a vote only when it holds
  // what was accepted, and only then the silent one goes.
  it('should let a newcomer vote once it has caught up', () => {
    const peers = ['b', 'c'];
    const log = leaderWith(3, () => peers);
    peers.push('d');
    const effects = log.after(STEP_MS);
    expect(sent(effects, 'hello')).toHaveLength(1);
    log.answer('d', {
      kind: 'hello',
      incarnation: 'd/1',
      round: 0,
      empty: true,
    });
    log.matched('d/1', 0);
    expect(log.status.voterIds).toEqual(['a', 'b', 'c']);
    log.matched('d/1', log.status.lastIndex);
    log.matched('b/1', log.status.lastIndex);
    log.matched('d/1', log.status.lastIndex);
    expect(log.status.voterIds).toEqual(['a', 'b', 'c', 'd']);
    wait(log, AFTER_MS + 2 * STEP_MS, ['b/1', 'd/1']);
    expect(log.status.voterIds).toEqual(['a', 'b', 'd']);
  });

  // An instance that is no founder starts with an empty disk at the same time
  // as those that are. A group of its own would accept changes beside theirs.
  it('should not found a group where others are told to', () => {
    const options = {...OPTIONS, id: 'a', founders: ['b', 'c']};
    const log = new Driven(EMPTY, true, options);
    const effects = log.after(5_000);
    expect(sent(effects, 'hello')).toHaveLength(0);
    expect(log.status.lastIndex).toBe(0);
  });
});
