/**
 * Writes a stream to the caller, in whole events and with backpressure. The
 * response headers are sent with the first event; until then another target can
 * still start the stream from the beginning.
 */

import type {ServerResponse} from 'node:http';
import type {CancelSignal} from '../core/cancellation';
import {withoutHeader} from '../core/httpHeaders';
import {abortResponse, leaveEndUnmarked} from '../core/responseEnd';
import type {RelayableHead} from './relayableHead';

/** The response stream of one caller. */
export class CallerStream {
  private headSent = false;
  private lastId: string | undefined;

  constructor(private readonly res: ServerResponse) {}

  /** Whether the response headers have been sent. */
  get hasBegun(): boolean {
    return this.headSent;
  }

  /** Whether a last chunk marks the end of the response that has begun. */
  get isEndMarked(): boolean {
    return this.res.chunkedEncoding;
  }

  /** Id of the last event that was written. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Writes one event, after the head of the first target; false if `drained` is due. */
  write(head: RelayableHead, raw: string, id: string | undefined): boolean {
    const {res} = this;
    this.begin(head);
    if (id !== undefined) this.lastId = id;
    return res.write(Buffer.from(raw, 'latin1')) || res.destroyed;
  }

  /** Resolves when more may be written, or never will be, or the signal is aborted. */
  drained(signal: CancelSignal): Promise<void> {
    const {res} = this;
    return new Promise(resolve => {
      const settle = () => {
        res.off('drain', settle);
        res.off('close', settle);
        signal.removeEventListener('abort', settle);
        resolve();
      };
      if (signal.aborted) return resolve();
      res.once('drain', settle);
      res.once('close', settle);
      signal.addEventListener('abort', settle);
    });
  }

  /** Ends the response, as complete if the first target marks its end. */
  end(head: RelayableHead): void {
    this.begin(head);
    this.res.end();
  }

  /** Closes the connection so that the caller sees an incomplete response. */
  abort(): void {
    abortResponse(this.res);
  }

  private begin(head: RelayableHead): void {
    if (this.headSent) return;
    this.headSent = true;
    if (!head.isEndMarked) leaveEndUnmarked(this.res);
    // Another target may continue the stream with fewer or more bytes.
    const headers = withoutHeader(head.headers, 'content-length');
    this.res.writeHead(head.status, headers);
  }
}
