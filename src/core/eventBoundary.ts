/** Tells whether a stream of server-sent events ended after a whole event. */

/** An empty line ends an event; a line ends in LF, CRLF or CR. */
const EMPTY_LINE_AT_END = /(?:\n\n|\n\r\n?|\r\r\n?)$/;
/** Longest end of an event. */
const TAIL_CHARS = 4;

/** Keeps the last characters of a stream. */
export class EventBoundary {
  private tail = '';

  add(chunk: Buffer): void {
    const text = chunk.subarray(-TAIL_CHARS).toString('latin1');
    this.tail = (this.tail + text).slice(-TAIL_CHARS);
  }

  /** Whether no event has begun since the last whole one. */
  get isReached(): boolean {
    return this.tail === '' || EMPTY_LINE_AT_END.test(this.tail);
  }
}
