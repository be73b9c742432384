/**
 * Detects from the streams of one node that a group of ranks is stalled.
 *
 * When a rank is lost, the other ranks wait for it for more than a second before
 * they respond to anything. All streams of the group fall silent together, which
 * shows the stall before a rank reports that the group is broken.
 */

/** Silence that counts as a stall; a map switch holds passes for less. */
const STALL_SILENCE_MS = 600;
/** A single stream may be silent for other reasons. */
const MIN_STREAMS = 2;

/** Streams of one group at one node. */
export class StallDetector {
  private streams = 0;
  private eventAtMs = -Infinity;

  /** Records that a stream has delivered its first event. */
  streamStarted(): void {
    this.streams++;
  }

  /** Records the end of a stream that was counted by `opened`. */
  streamEnded(): void {
    this.streams--;
  }

  /** Records that a stream waits for its caller, whose silence shows nothing. */
  streamPaused(): void {
    this.streams--;
  }

  streamResumed(nowMs: number): void {
    this.streams++;
    this.eventAtMs = nowMs;
  }

  noteEvent(nowMs: number): void {
    this.eventAtMs = nowMs;
  }

  get isEmpty(): boolean {
    return this.streams === 0;
  }

  isStalled(nowMs: number): boolean {
    const isSilent = nowMs - this.eventAtMs > STALL_SILENCE_MS;
    return this.streams >= MIN_STREAMS && isSilent;
  }
}
