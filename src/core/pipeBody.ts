/** Passes a body on as it comes, tiny chunks in larger ones. */

import type {IncomingMessage} from 'node:http';
import type {Writable} from 'node:stream';
import {ByteBuffer} from './byteBuffer';
import {FRAGMENTED_READS} from './fragmentedReads';

/** What is gathered before it is written, bytes. */
const WRITE_BYTES = 16 << 10;

/**
 * Like `source.pipe(sink, {end: false})`. Chunks that are read together are written
 * together, since each write takes some hundred bytes of memory until it is sent. All is
 * written before the source emits `end` to listeners that are added later.
 */
export function pipeBody(source: IncomingMessage, sink: Writable): void {
  const reads = FRAGMENTED_READS.open(source.socket);
  let gathered = new ByteBuffer();
  let isScheduled = false;
  const write = (bytes: Buffer) => {
    if (!sink.destroyed && !sink.write(bytes)) source.pause();
  };
  const flush = () => {
    if (gathered.length === 0) return;
    const bytes = gathered.bytes();
    gathered = new ByteBuffer();
    write(bytes);
  };
  const endTurn = () => {
    isScheduled = false;
    flush();
  };
  const onData = (chunk: Buffer) => {
    reads.add(chunk.length);
    if (!isScheduled) {
      isScheduled = true;
      setImmediate(endTurn);
      return write(chunk);
    }
    gathered.append(chunk);
    if (gathered.length >= WRITE_BYTES) flush();
  };
  const onDrain = () => source.resume();
  const close = () => {
    source.off('data', onData);
    sink.off('drain', onDrain);
    reads.close();
  };
  source.once('end', flush);
  source.once('close', () => {
    flush();
    close();
  });
  sink.once('close', () => {
    close();
    source.pause();
  });
  sink.on('drain', onDrain);
  source.on('data', onData);
}
