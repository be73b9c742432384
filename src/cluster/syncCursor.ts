/** How much of the leader's view a node has; replies hold only what is newer. */

import type {SyncParams, SyncState} from './messages';

/** Interval at which the list of nodes is requested although it is unchanged. */
const NODES_REFRESH_MS = 5_000;

/** Position in the view of the current leader, as of the last reply. */
export class SyncCursor {
  private term = -1;
  private index = -1;
  private tableRevision = 0;
  private nodesRevision: number | undefined;
  private nodesReceivedAtMs = -Infinity;
  private leaderTimeMs: number | undefined;
  private repliedAtMs = -Infinity;

  /** The position as fields of a report. */
  reportParams(
    nowMs: number
  ): Pick<
    SyncParams,
    'tableTerm' | 'tableRevision' | 'nodesRevision' | 'leaderTimeMs'
  > {
    const isFresh = nowMs - this.nodesReceivedAtMs < NODES_REFRESH_MS;
    return {
      tableTerm: this.term,
      tableRevision: this.tableRevision,
      // The whole list is requested in time: nodes that are not named for long
      // are dropped from the directory.
      nodesRevision: isFresh ? this.nodesRevision : undefined,
      leaderTimeMs:
        this.leaderTimeMs === undefined
          ? undefined
          : this.leaderTimeMs + Math.floor(nowMs - this.repliedAtMs),
    };
  }

  /** Commit index of the replicated state; -1 before the first. */
  get commitIndex(): number {
    return this.index;
  }

  /** Advances to committed state that came from a peer. */
  advanceIndex(index: number): void {
    this.index = Math.max(this.index, index);
  }

  /** Whether a reply is from an earlier leader or log position. */
  isStale({term, index}: SyncState): boolean {
    return term < this.term || index < this.index;
  }

  /** Advances to the position of a reply; returns whether its leader is new. */
  advance(reply: SyncState, nowMs: number): boolean {
    const isNewLeader = reply.term > this.term;
    this.term = reply.term;
    this.index = reply.index;
    this.tableRevision = reply.tableRevision;
    this.nodesRevision = reply.nodesRevision;
    this.leaderTimeMs = reply.leaderTimeMs;
    this.repliedAtMs = nowMs;
    if (reply.nodes.length > 0) this.nodesReceivedAtMs = nowMs;
    return isNewLeader;
  }
}
