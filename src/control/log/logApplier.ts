/** Drives the state machine: applies, restores, and says when to snapshot. */

import type {LogLimits} from './logOptions';
import type {LogEntry, LogSnapshot} from './entry';
import type {PendingCalls} from './pendingCalls';
import type {StateMachine} from './replicatedLog';

/** About the size of an entry; spreads the cost of a snapshot over entries. */
const CHARS_PER_ENTRY = 256;

/** The state machine and how far it is. */
export class LogApplier {
  private applied = 0;
  private snapshotAt = 0;
  private snapshotChars = 0;
  /** Bytes written when the last snapshot was taken, until it is on disk. */
  private bytesTaken = 0;

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
    this.snapshotAt = snapshot.index;
    this.snapshotChars = snapshot.data.length;
    this.calls.reached(this.applied);
  }

  apply(entries: readonly LogEntry[]): void {
    for (const {index, body} of entries) {
      this.applied = index;
      if (body.kind === 'configuration') continue;
      const result = this.stateMachine.apply(body.command, index);
      this.calls.resolveAt(index, result);
    }
    this.calls.reached(this.applied);
  }

  /**
   * Takes a snapshot when the log has grown by enough since the last: by the
   * limits, and by about the size of the state, or a large state would be
   * written over and over.
   */
  snapshotIfDue(
    bytes: number
  ): {readonly index: number; readonly data: string} | undefined {
    if (bytes < this.bytesTaken) this.bytesTaken = 0;
    if (!this.isDue(bytes - this.bytesTaken)) return undefined;
    const data = this.stateMachine.snapshot();
    this.snapshotAt = this.applied;
    this.snapshotChars = data.length;
    this.bytesTaken = bytes;
    return {index: this.applied, data};
  }

  private isDue(bytes: number): boolean {
    const {snapshotEntries, snapshotBytes} = this.limits;
    const {snapshotChars} = this;
    const grown = this.applied - this.snapshotAt;
    if (grown === 0) return false;
    return (
      grown >= Math.max(snapshotEntries, snapshotChars / CHARS_PER_ENTRY) ||
      bytes >= Math.max(snapshotBytes, snapshotChars)
    );
  }
}
