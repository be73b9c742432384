/**
 * Writes lines to a file descriptor without ever waiting for its reader. Writes
 * to a pipe block the whole process on Linux once the pipe is full; a reader of
 * logs that hangs would hold up every request.
 */

import {write} from 'node:fs';

/** What may wait for a slow reader: some seconds of a busy process's lines. */
const MAX_PENDING_BYTES = 1 << 20;
/** What goes out in one write; a pipe holds 64 KiB. */
const MAX_WRITE_BYTES = 48 << 10;
/** A reader that is merely slow takes some bytes within this time. */
const RETRY_DELAY_MS = 20;

/** Lines on their way; what does not fit is dropped and counted. */
export class BoundedOutput {
  private readonly lines: Buffer[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private droppedLines = 0;

  constructor(private readonly descriptor: number) {}

  /** Lines dropped since the start. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** Takes one line, its end included. */
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
    while (this.lines.length > 0 && bytes < MAX_WRITE_BYTES) {
      const line = this.lines.shift() as Buffer;
      taken.push(line);
      bytes += line.length;
    }
    return Buffer.concat(taken);
  }

  private writeAll(batch: Buffer): void {
    write(this.descriptor, batch, 0, batch.length, null, (err, written) => {
      const isPipeFull = err?.code === 'EAGAIN';
      const taken = written ?? 0;
      const rest = batch.subarray(taken);
      this.pendingBytes -= taken;
      if (isPipeFull || (err === null && rest.length > 0)) {
        setTimeout(() => this.writeAll(rest), RETRY_DELAY_MS).unref();
        return;
      }
      // Nobody reads any more: the lines are lost, the process goes on.
      this.pendingBytes -= rest.length;
      this.isWriting = false;
      this.writeNext();
    });
  }
}
