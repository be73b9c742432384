/** How much of the leader's view a node has; an answer holds only what is newer. */

import type {SyncParams, SyncState} from './messages';

/** The list of nodes comes this often, also when it has not changed. */
const NODES_REFRESH_MS = 5_000;

/** Position in the view of the present leader. */
export class SyncCursor {
  private term = -1;
  private index = -1;
  private tableRevision = 0;
  private nodesRevision: number | undefined;
  private nodesReceivedAtMs = -Infinity;

  /** What a report says of it. */
  reportParams(
    nowMs: number
  ): Pick<SyncParams, 'tableTerm' | 'tableRevision' | 'nodesRevision'> {
    const isFresh = nowMs - this.nodesReceivedAtMs < NODES_REFRESH_MS;
    return {
      tableTerm: this.term,
      tableRevision: this.tableRevision,
      // Nodes that are not named for long are forgotten.
      nodesRevision: isFresh ? this.nodesRevision : undefined,
    };
  }

  /** Whether an answer is of an older leader or an older position of the log. */
  isStale({term, index}: SyncState): boolean {
    return term < this.term || index < this.index;
  }

  /** Takes an answer in; returns whether its leader is a new one. */
  advance(reply: SyncState, nowMs: number): boolean {
    const isNewLeader = reply.term > this.term;
    this.term = reply.term;
    this.index = reply.index;
    this.tableRevision = reply.tableRevision;
    this.nodesRevision = reply.nodesRevision;
    if (reply.nodes.length > 0) this.nodesReceivedAtMs = nowMs;
    return isNewLeader;
  }
}
