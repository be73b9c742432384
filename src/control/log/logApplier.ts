/** Applies entries and snapshots to the state machine, and takes snapshots. */

import type {LogLimits} from './logOptions';
import type {LogEntry, LogSnapshot} from './entry';
import type {PendingCalls} from './pendingCalls';
import type {StateMachine} from './replicatedLog';

/**
 * Typical size of an entry, used to compare a log length to a snapshot size.
 */
const TYPICAL_ENTRY_CHARS = 256;

/** The state machine and the index up to which it has applied the log. */
export class LogApplier {
  private applied = 0;
  private snapshotIndex = 0;
  private snapshotChars = 0;
  /**
   * Value of the storage's byte counter when the last snapshot was taken. The
   * counter restarts once that snapshot is on disk.
   */
  private bytesAtLastSnapshot = 0;

  constructor(
    private readonly stateMachine: StateMachine,
    private readonly calls: PendingCalls,
    private readonly limits: LogLimits
  ) {}

  /** Index of the last entry applied. */
  get appliedIndex(): number {
    return this.applied;
  }

  restore(snapshot: LogSnapshot): void {
    this.stateMachine.restore(snapshot.data);
    this.applied = snapshot.index;
    this.snapshotIndex = snapshot.index;
    this.snapshotChars = snapshot.data.length;
    this.calls.resolveApplied(this.applied);
  }

  apply(entries: readonly LogEntry[]): void {
    for (const {index, body} of entries) {
      this.applied = index;
      if (body.kind === 'configuration') continue;
      const result = this.stateMachine.apply(body.command, index);
      this.calls.resolveProposal(index, result);
    }
    this.calls.resolveApplied(this.applied);
  }

  /**
   * Takes a snapshot if the log has grown enough since the last one: by the
   * configured limits, and by about the size of the last snapshot. Without the
   * second condition a large state would be rewritten too often.
   */
  snapshotIfDue(
    bytes: number
  ): {readonly index: number; readonly data: string} | undefined {
    if (bytes < this.bytesAtLastSnapshot) this.bytesAtLastSnapshot = 0;
    if (!this.isSnapshotDue(bytes - this.bytesAtLastSnapshot)) return undefined;
    const data = this.stateMachine.snapshot();
    this.snapshotIndex = this.applied;
    this.snapshotChars = data.length;
    this.bytesAtLastSnapshot = bytes;
    return {index: this.applied, data};
  }

  private isSnapshotDue(bytes: number): boolean {
    const {snapshotEntries, snapshotBytes} = this.limits;
    const {snapshotChars} = this;
    const newEntries = this.applied - this.snapshotIndex;
    if (newEntries === 0) return false;
    return (
      newEntries >=
        Math.max(snapshotEntries, snapshotChars / TYPICAL_ENTRY_CHARS) ||
      bytes >= Math.max(snapshotBytes, snapshotChars)
    );
  }
}
