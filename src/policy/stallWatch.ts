/**
 * Tells that a group of ranks stands still, from the streams of one node.
 *
 * The load it answers: a rank is lost, and all ranks wait for it for more than
 * a second before they answer anything. Until a rank tells that the group is
 * broken, requests that are sent to it lose a second and a half and then come
 * back not run. Streams show it sooner: they all fall silent together.
 */

/**
 * Silence of all streams that counts. Four of the longest passes that callers
 * bear; switches of maps hold a group for a tenth of a second.
 */
const SILENT_MS = 600;
/** A single stream may wait for other reasons. */
const LEAST_STREAMS = 2;

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
    return this.streams >= LEAST_STREAMS && isSilent;
  }
}
