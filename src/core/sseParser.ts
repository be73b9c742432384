/** Parses server-sent events and keeps the raw text of each. */

import {StringDecoder} from 'node:string_decoder';

/** An empty line ends an event; a line ends in LF, CRLF or CR. */
const EVENT_END = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r(?!\n))/g;
/** An empty line has up to four characters. */
const SEAM_CHARS = 3;
const NOT_LINE_END = /[^\r\n]/;
const LINE_END = /\r\n|\n|\r/;

/** One server-sent event. */
export interface SseEvent {
  /** The event as received, including the empty line that ends it. */
  readonly raw: string;
  readonly id?: string;
  /** Event type; absent for plain messages. */
  readonly event?: string;
  /** Data lines joined by LF; empty for comments. */
  readonly data: string;
}

/** Incremental parser; buffers at most one incomplete event. */
export class SseParser {
  private readonly decoder: StringDecoder;
  /** The incomplete event; joined only when it ends, since each join copies it. */
  private parts: string[] = [];
  private partChars = 0;
  /** Last characters of the parts, in which an empty line may have begun. */
  private seam = '';

  /**
   * With `latin1` each byte becomes one character, so that `raw` is lossless.
   */
  constructor(encoding: 'utf8' | 'latin1' = 'utf8') {
    this.decoder = new StringDecoder(encoding);
  }

  /** Length of the incomplete event. */
  get pendingChars(): number {
    return this.partChars;
  }

  /** Whether the buffer holds the beginning of an event; empty lines are none. */
  get isInsideEvent(): boolean {
    return this.parts.some(part => NOT_LINE_END.test(part));
  }

  /** Returns the events that the chunk completes. */
  push(chunk: Buffer): readonly SseEvent[] {
    const text = this.decoder.write(chunk);
    EVENT_END.lastIndex = 0;
    if (!EVENT_END.test(this.seam + text)) {
      this.keep(text);
      return [];
    }
    const pending = this.parts.join('') + text;
    const events: SseEvent[] = [];
    let start = 0;
    EVENT_END.lastIndex = 0;
    while (EVENT_END.test(pending)) {
      events.push(parseEvent(pending.slice(start, EVENT_END.lastIndex)));
      start = EVENT_END.lastIndex;
    }
    this.parts = [];
    this.partChars = 0;
    this.seam = '';
    this.keep(pending.slice(start));
    return events;
  }

  private keep(text: string): void {
    if (text === '') return;
    this.parts.push(text);
    this.partChars += text.length;
    this.seam = (this.seam + text).slice(-SEAM_CHARS);
  }
}

function parseEvent(raw: string): SseEvent {
  let id: string | undefined;
  let event: string | undefined;
  const data: string[] = [];
  // Most events use LF only, and splitting by a pattern is slower.
  const lineEnd = raw.includes('\r') ? LINE_END : '\n';
  for (const line of raw.split(lineEnd)) {
    const colon = line.indexOf(':');
    if (colon <= 0) continue;
    const field = line.slice(0, colon);
    const value = line.slice(line[colon + 1] === ' ' ? colon + 2 : colon + 1);
    if (field === 'id') id = value;
    else if (field === 'event') event = value;
    else if (field === 'data') data.push(value);
  }
  return {raw, id, event, data: data.join('\n')};
}
