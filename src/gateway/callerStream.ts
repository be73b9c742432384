/**
 * The caller's side of a stream: whole events only, and no faster than the
 * caller reads. The head goes out with the first event; until then another
 * target can still begin from scratch.
 */

import type {ServerResponse} from 'node:http';
import {once} from 'node:events';

/** Head of the answer, as the first target gave it. */
export interface StreamHead {
  readonly status: number;
  /** Raw list. */
  readonly headers: readonly string[];
}

/** Writes events to one caller. */
export class CallerStream {
  private begun = false;
  private lastId: string | undefined;

  constructor(private readonly res: ServerResponse) {}

  /** Whether the caller has got the head. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** Id of the event that was forwarded last. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Resolves when more may be written. */
  async write(
    head: StreamHead,
    raw: string,
    id: string | undefined
  ): Promise<void> {
    const {res} = this;
    if (!this.begun) {
      this.begun = true;
      res.writeHead(head.status, [...head.headers]);
    }
    if (id !== undefined) this.lastId = id;
    const isTaken = res.write(Buffer.from(raw, 'latin1'));
    if (!isTaken && !res.destroyed)
      await Promise.race([once(res, 'drain'), once(res, 'close')]);
  }

  /** Ends as complete. */
  end(head: StreamHead): void {
    if (!this.begun) this.res.writeHead(head.status, [...head.headers]);
    this.res.end();
  }

  /** Ends so that the caller sees that something is missing. */
  cut(): void {
    this.res.destroy();
  }
}
