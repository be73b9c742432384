/**
 * Tells that a group of ranks stands still, from the streams of one node.
 *
 * Pattern: a rank is lost, and all ranks wait for it for more than a second before
 * they answer anything. Streams show it before a rank tells that the group is
 * broken: all of them fall silent together.
 */

/** Silence of all streams that counts; a switch of maps holds a group for less. */
const SILENT_MS = 600;
/** A single stream may wait for other reasons. */
const MIN_STREAMS = 2;

/** Streams of one group at one node. */
export class StallWatch {
  private streams = 0;
  private eventAtMs = -Infinity;

  /** A stream has sent its first event. */
  opened(): void {
    this.streams++;
  }

  /** A stream that had begun is over. */
  closed(): void {
    this.streams--;
  }

  noteEvent(nowMs: number): void {
    this.eventAtMs = nowMs;
  }

  get isEmpty(): boolean {
    return this.streams === 0;
  }

  isStalled(nowMs: number): boolean {
    const isSilent = nowMs - this.eventAtMs > SILENT_MS;
    return this.streams >= MIN_STREAMS && isSilent;
  }
}
