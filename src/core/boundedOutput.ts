/**
 * Writes lines to a file descriptor without ever blocking on its reader. On
 * Linux, writing to a full pipe blocks the whole process, so that a log reader
 * that hangs would stall every request.
 */

import {write} from 'node:fs';

/** Buffer for a slow reader: some seconds of a busy process's lines. */
const MAX_PENDING_BYTES = 1 << 20;
/** Lines are batched until a write has this size; a pipe holds 64 KiB. */
const WRITE_BATCH_BYTES = 48 << 10;
/** Delay after a full pipe; a merely slow reader drains some of it meanwhile. */
const RETRY_DELAY_MS = 20;

/** Queue of lines to write; lines that do not fit are dropped and counted. */
export class BoundedOutput {
  private readonly lines: Buffer[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private droppedLines = 0;

  constructor(private readonly descriptor: number) {}

  /** Lines dropped since this output was created. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Queues one line, which includes its line break. */
  write(line: string): void {
    const bytes = Buffer.from(line);
    if (this.pendingBytes + bytes.length > MAX_PENDING_BYTES) {
      this.droppedLines++;
      return;
    }
    this.lines.push(bytes);
    this.pendingBytes += bytes.length;
    if (!this.isWriting) this.writeNext();
  }

  private writeNext(): void {
    const batch = this.takeBatch();
    if (batch.length === 0) return;
    this.isWriting = true;
    this.writeAll(batch);
  }

  private takeBatch(): Buffer {
    const taken: Buffer[] = [];
    let bytes = 0;
    while (this.lines.length > 0 && bytes < WRITE_BATCH_BYTES) {
      const line = this.lines.shift() as Buffer;
      taken.push(line);
      bytes += line.length;
    }
    return Buffer.concat(taken);
  }

  private writeAll(batch: Buffer): void {
    write(this.descriptor, batch, 0, batch.length, null, (err, written) => {
      const isPipeFull = err?.code === 'EAGAIN';
      const writtenBytes = written ?? 0;
      const rest = batch.subarray(writtenBytes);
      this.pendingBytes -= writtenBytes;
      if (isPipeFull || (err === null && rest.length > 0)) {
        setTimeout(() => this.writeAll(rest), RETRY_DELAY_MS).unref();
        return;
      }
      // Any other error means that the reader is gone: the rest is discarded.
      this.pendingBytes -= rest.length;
      this.isWriting = false;
      this.writeNext();
    });
  }
}
