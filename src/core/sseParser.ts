/** Cuts a byte stream into server-sent events; keeps each event's own bytes. */

import {StringDecoder} from 'node:string_decoder';

/** An empty line ends an event; a line ends in LF, CRLF or CR. */
const EVENT_END = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r(?!\n))/g;
const LINE_END = /\r\n|\n|\r/;

/** One event. */
export interface SseEvent {
  /** As it came, with the empty line at its end. */
  readonly raw: string;
  readonly id?: string;
  /** Event type; absent for plain messages. */
  readonly event?: string;
  /** Data lines joined by LF; empty for comments. */
  readonly data: string;
}

/** Incremental; holds at most one unfinished event. */
export class SseParser {
  private readonly decoder: StringDecoder;
  private pending = '';

  /** With `latin1` each byte stays itself, whatever the stream holds. */
  constructor(encoding: 'utf8' | 'latin1' = 'utf8') {
    this.decoder = new StringDecoder(encoding);
  }

  /** Characters of the unfinished event. */
  get pendingChars(): number {
    return this.pending.length;
  }

  /** The events that the chunk completes. */
  push(chunk: Buffer): readonly SseEvent[] {
    this.pending += this.decoder.write(chunk);
    const events: SseEvent[] = [];
    let start = 0;
    EVENT_END.lastIndex = 0;
    while (EVENT_END.test(this.pending)) {
      events.push(parseEvent(this.pending.slice(start, EVENT_END.lastIndex)));
      start = EVENT_END.lastIndex;
    }
    this.pending = this.pending.slice(start);
    return events;
  }
}

function parseEvent(raw: string): SseEvent {
  let id: string | undefined;
  let event: string | undefined;
  const data: string[] = [];
  // Most have LF alone, and a split by a pattern takes several times as long.
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
