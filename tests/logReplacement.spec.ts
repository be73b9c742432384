import {DiskNodes} from '../bench/fuzz/diskNodes';
import {LOG_TIMING} from '../src/cluster/logTiming';
import {
  CORE_OPTIONS,
  DrivenCore,
  EMPTY_STATE,
  MEMBER_STATE,
  sentRequests,
} from './drivenCore';

const EVICTION_MS = 8_000;
const STEP_MS = 200;
const SEED = 5;

/** Makes `a` the leader, with voter eviction. Only `b` has replied so far. */
function startLeader(minVoters: number, peers: () => readonly string[]) {
  const voterEviction = {silentMs: EVICTION_MS, minVoters};
  const options = {...CORE_OPTIONS, peerIds: peers, voterEviction};
  const log = new DrivenCore(MEMBER_STATE, true, options);
  log.becomeLeader();
  log.reportMatch('b/1', log.status.lastIndex);
  return log;
}

/** Advances the time while only the given incarnations reply. */
function advance(log: DrivenCore, ms: number, repliers = ['b/1']): void {
  for (let elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
    log.after(STEP_MS);
    for (const incarnation of repliers)
      log.reportMatch(incarnation, log.status.lastIndex);
  }
}

describe('instances that are replaced at another address', () => {
  // A machine is replaced by an empty one at another address. If the old one
  // remained a voter, it would count as a failure forever, and the next
  // failure, which the deployment should tolerate, would stop all changes.
  it('should remove a silent voter if enough remain', () => {
    const log = startLeader(2, () => ['b', 'c']);
    advance(log, EVICTION_MS + 2 * STEP_MS);
    expect(log.status.voterIds).toEqual(['a', 'b']);
  });

  it('should keep a silent voter if too few would remain', () => {
    const log = startLeader(3, () => ['b', 'c']);
    advance(log, 3 * EVICTION_MS);
    expect(log.status.voterIds).toEqual(['a', 'b', 'c']);
  });

  it('should keep a voter that was silent for a shorter time', () => {
    const log = startLeader(2, () => ['b', 'c']);
    advance(log, EVICTION_MS - 2 * STEP_MS);
    log.reportMatch('c/1', 1);
    advance(log, EVICTION_MS - 2 * STEP_MS);
    expect(log.status.voterIds).toEqual(['a', 'b', 'c']);
  });

  // A new instance becomes a voter only once it holds all committed entries,
  // and only then the silent voter is removed.
  it('should make a new instance a voter once it has caught up', () => {
    const peers = ['b', 'c'];
    const log = startLeader(3, () => peers);
    peers.push('d');
    const effects = log.after(STEP_MS);
    expect(sentRequests(effects, 'hello')).toHaveLength(1);
    log.answer('d', {
      kind: 'hello',
      incarnation: 'd/1',
      round: 0,
      empty: true,
    });
    log.reportMatch('d/1', 0);
    expect(log.status.voterIds).toEqual(['a', 'b', 'c']);
    log.reportMatch('d/1', log.status.lastIndex);
    log.reportMatch('b/1', log.status.lastIndex);
    log.reportMatch('d/1', log.status.lastIndex);
    expect(log.status.voterIds).toEqual(['a', 'b', 'c', 'd']);
    advance(log, EVICTION_MS + 2 * STEP_MS, ['b/1', 'd/1']);
    expect(log.status.voterIds).toEqual(['a', 'b', 'd']);
  });

  // The replaced leader kept its vote for 8 s: two of four voters were left.
  it('should bear the loss of a disk 4 s after the leader was replaced at another address', () => {
    const shape = {nodes: 3, spares: 1, timing: LOG_TIMING, delayMs: 5};
    const disks = new DiskNodes(SEED, shape);
    disks.untilVoters(3);
    disks.remove(disks.leader().id);
    const successor = disks.startSpare();
    disks.advance(4_000);
    disks.instance(successor).wipe();
    disks.advance(1_000);
    disks.commit();
    expect(disks.voterIds()).toHaveLength(3);
  });

  // An instance that is not a founder starts with an empty disk at the same
  // time as the founders. A group of its own would accept changes
  // independently.
  it('should not found a group when it is not among the founders', () => {
    const options = {...CORE_OPTIONS, id: 'a', founders: ['b', 'c']};
    const log = new DrivenCore(EMPTY_STATE, true, options);
    const effects = log.after(5_000);
    expect(sentRequests(effects, 'hello')).toHaveLength(0);
    expect(log.status.lastIndex).toBe(0);
  });
});
