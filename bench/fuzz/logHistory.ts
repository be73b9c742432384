/** Records what instances of the log did, and checks its promises over it. */

import type {
  Configuration,
  DurableState,
  LogEntry,
  Voter,
} from '../../src/control/log/entry';
import {quorumOf} from '../../src/control/log/entry';
import type {CoreReply, CoreRequest} from '../../src/control/log/messages';
import {lastIndexOf, type MemoryDisk} from './memoryDisk';

/** A promise that did not hold. */
export class BrokenPromise extends Error {}

/** Everything committed, accepted, voted and elected in one schedule. */
export class LogHistory {
  /** Committed entries, the first one at 0. */
  readonly committed: LogEntry[] = [];
  /** The last committed configuration. */
  configuration: Configuration = {voters: []};
  acceptedCount = 0;
  barrierCount = 0;
  installedCount = 0;
  replacedCount = 0;
  electedCount = 0;
  private readonly leaders = new Map<string, string>();
  private readonly votes = new Map<string, string>();

  constructor(
    private readonly diskOf: (id: string) => DurableState | undefined
  ) {}

  get committedIndex(): number {
    return this.committed.length;
  }

  /** All applied sequences must be prefixes of one another. */
  onApplied(id: string, entry: LogEntry, inForce: Configuration): void {
    const known = this.committed[entry.index - 1];
    if (known !== undefined) {
      if (JSON.stringify(known) !== JSON.stringify(entry))
        throw new BrokenPromise(
          `${id} applied ${JSON.stringify(entry)}, others ${JSON.stringify(known)}`
        );
      return;
    }
    if (entry.index !== this.committed.length + 1)
      throw new BrokenPromise(`${id} applied ${entry.index} with a gap`);
    this.committed.push(entry);
    this.assertOnQuorum(entry, inForce);
    if (entry.body.kind === 'configuration') {
      this.replacedCount++;
      this.configuration = entry.body.configuration;
    }
  }

  /** A restored state must be that of the committed entries. */
  onRestored(id: string, index: number, data: string): void {
    this.installedCount++;
    if (index > this.committed.length || data !== this.stateAt(index))
      throw new BrokenPromise(`${id} restored another state at ${index}`);
  }

  /** The state machine's snapshot at an index. */
  stateAt(index: number): string {
    return JSON.stringify(
      this.committed
        .slice(0, index)
        .flatMap(({body}) =>
          body.kind === 'command' && body.command.kind === 'fence'
            ? [body.command.holder]
            : []
        )
    );
  }

  /** A proposal's caller was told that it is committed at `index`. */
  onAccepted(holder: string, index: number): void {
    const body = this.committed[index - 1]?.body;
    const stands =
      body?.kind === 'command' &&
      body.command.kind === 'fence' &&
      body.command.holder === holder;
    if (!stands)
      throw new BrokenPromise(`${holder} was accepted but is not at ${index}`);
    this.acceptedCount++;
  }

  /** A barrier covers all that anyone had seen when it was asked for. */
  onBarrier(id: string, index: number, committedBefore: number): void {
    this.barrierCount++;
    if (index < committedBefore)
      throw new BrokenPromise(
        `barrier at ${id} gave ${index}, ${committedBefore} was committed before`
      );
  }

  /**
   * At most one leader a term in one group. A founder that is wiped before
   * its group committed anything leaves that group for dead and founds
   * another; that only one of them commits is seen by what is applied.
   */
  onElected(incarnation: string, group: string, term: number): void {
    const key = `${group} ${term}`;
    const other = this.leaders.get(key) ?? incarnation;
    if (other !== incarnation) throw new BrokenPromise(`two leaders: ${key}`);
    this.leaders.set(key, incarnation);
    this.electedCount++;
  }

  /**
   * What an answer vouches for must be durable at the one that gives it. An
   * answer of an earlier term may come after a later leader has replaced the
   * entries, like one that the network held back (seed 305012).
   */
  onReply(request: CoreRequest, reply: CoreReply, disk: MemoryDisk): void {
    if (disk.durable === undefined)
      throw new BrokenPromise('an empty disk vouched for something');
    if (reply.kind === 'vote') this.onVote(request, reply, disk.durable);
    if (reply.kind === 'progress' && reply.ok)
      if (disk.lengthIn(reply.term) < reply.matchIndex)
        throw new BrokenPromise(
          `${reply.incarnation} vouched for unsynced ${reply.matchIndex}`
        );
  }

  /** One member at a time, and a new one holds all that was committed. */
  onConfigurationProposed(next: Configuration): void {
    const before = this.configuration.voters;
    if (before.length === 0) return;
    const has = (voters: Configuration['voters'], incarnation: string) =>
      voters.some(voter => voter.incarnation === incarnation);
    const added = next.voters.filter(v => !has(before, v.incarnation));
    const removed = before.filter(v => !has(next.voters, v.incarnation));
    if (added.length + removed.length !== 1)
      throw new BrokenPromise(
        `${added.length} members in and ${removed.length} out at once`
      );
    for (const voter of added) {
      const disk = this.diskOf(voter.id);
      if (disk?.hard.incarnation === voter.incarnation)
        this.assertWhole(voter.id, disk);
    }
  }

  /**
   * Synced on a quorum of the last configuration in the leader's log, or of
   * the one before, should this very commit have let it propose the next.
   */
  private assertOnQuorum(entry: LogEntry, inForce: Configuration): void {
    const held = [inForce, this.configuration].some(({voters}) => {
      const holders = voters.filter(voter => this.mayHold(voter, entry.index));
      return holders.length >= quorumOf(voters.length);
    });
    if (!held)
      throw new BrokenPromise(`${entry.index} was committed without a quorum`);
  }

  /** False only when that incarnation's disk is there and lacks the entry. */
  private mayHold({id, incarnation}: Voter, index: number): boolean {
    const disk = this.diskOf(id);
    if (disk?.hard.incarnation !== incarnation) return true;
    return lastIndexOf(disk) >= index;
  }

  private assertWhole(id: string, disk: DurableState): void {
    const whole = this.committed.every(
      entry =>
        entry.index <= disk.base.index ||
        disk.entries[entry.index - disk.base.index - 1]?.term === entry.term
    );
    if (!whole)
      throw new BrokenPromise(
        `${id} got a vote without all that was committed`
      );
  }

  private onVote(
    request: CoreRequest,
    reply: Extract<CoreReply, {kind: 'vote'}>,
    disk: DurableState
  ): void {
    if (!reply.granted || reply.preVote || request.kind !== 'vote') return;
    const candidate = request.fromIncarnation;
    const {term, votedFor} = disk.hard;
    const durable =
      term > request.term || (term === request.term && votedFor === candidate);
    if (!durable)
      throw new BrokenPromise(`${reply.incarnation} gave an unsynced vote`);
    const key = `${reply.incarnation} ${request.term}`;
    const other = this.votes.get(key) ?? candidate;
    if (other !== candidate)
      throw new BrokenPromise(`${reply.incarnation} voted twice`);
    this.votes.set(key, candidate);
  }
}
