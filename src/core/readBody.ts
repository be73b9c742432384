/** Reads the body of a request or a response into one buffer. */

import type {IncomingMessage} from 'node:http';
import {ByteBuffer} from './byteBuffer';
import type {CancelSignal} from './cancellation';
import {unreachable} from './errors';
import {FRAGMENTED_READS} from './fragmentedReads';

/** What was read of a body. */
export type BodyRead =
  | {readonly kind: 'whole'; readonly body: Buffer}
  /** It exceeds `maxBytes`, or there is no room for it; what follows `begun` is not read. */
  | {readonly kind: 'tooLarge' | 'noRoom'; readonly begun: Buffer}
  /** It ended before it was complete. */
  | {readonly kind: 'cut'}
  /** It was not complete in time, or when the signal was aborted. */
  | {readonly kind: 'stopped'};

/** Room for what is read. */
export interface BodyRoom {
  /** Whether the body may take this many bytes in all. */
  grow(bytes: number): boolean;
  /** Called before the first byte; `end` ends the reading with `noRoom`. */
  onReading?(end: () => void): void;
  /** Called once the reading has ended. */
  onRead?(): void;
}

/** Bounds of one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly room?: BodyRoom;
  /** Time for the body, milliseconds. */
  readonly timeoutMs?: number;
  /** Ends the reading. */
  readonly signal?: CancelSignal;
}

const UNBOUNDED: BodyRoom = {grow: () => true};
const NOTHING = Buffer.alloc(0);

/** Reads until the end or a bound; a body that states more than `maxBytes` is not read. */
export function readBody(
  source: IncomingMessage,
  {maxBytes, room = UNBOUNDED, timeoutMs, signal}: BodyLimits
): Promise<BodyRead> {
  return new Promise(resolve => {
    if (statedBytes(source) > maxBytes)
      return resolve({kind: 'tooLarge', begun: NOTHING});
    if (source.destroyed) return resolve({kind: 'cut'});
    if (signal?.aborted === true) return resolve({kind: 'stopped'});
    const received = new ByteBuffer();
    const reads = FRAGMENTED_READS.open(source.socket);
    const settle = (result: BodyRead) => {
      source.off('data', onData);
      source.off('end', onEnd);
      source.off('close', onCut);
      signal?.removeEventListener('abort', stop);
      clearTimeout(timer);
      reads.close();
      room.onRead?.();
      if (result.kind !== 'whole') source.pause();
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      received.append(chunk);
      reads.add(chunk.length);
      const bytes = received.length;
      const isWithin = bytes <= maxBytes;
      if (isWithin && room.grow(bytes)) return;
      const kind = isWithin ? 'noRoom' : 'tooLarge';
      settle({kind, begun: received.bytes()});
    };
    const onCut = () => settle({kind: 'cut'});
    const stop = () => settle({kind: 'stopped'});
    const timer =
      timeoutMs === undefined ? undefined : setTimeout(stop, timeoutMs);
    signal?.addEventListener('abort', stop, {once: true});
    room.onReading?.(() => settle({kind: 'noRoom', begun: NOTHING}));
    // `complete` is false when the connection closed before the end of the body.
    const onEnd = () =>
      source.complete
        ? settle({kind: 'whole', body: received.bytes()})
        : onCut();
    source.on('end', onEnd);
    source.on('error', ignoreError);
    source.on('close', onCut);
    source.on('data', onData);
  });
}

/** An error is followed by a close. Shares no scope with the bytes that were read. */
function ignoreError(): void {}

/** Like `readBody`, as text; rejects without a whole body. */
export async function readText(
  source: IncomingMessage,
  limits: BodyLimits
): Promise<string> {
  const read = await readBody(source, limits);
  if (read.kind === 'whole') return read.body.toString('utf8');
  throw new BodyError(read.kind, limits.maxBytes);
}

/** A body that was not read to its end. */
export class BodyError extends Error {
  constructor(
    readonly kind: Exclude<BodyRead['kind'], 'whole'>,
    maxBytes: number
  ) {
    super(bodyProblem(kind, maxBytes));
    this.name = 'BodyError';
  }
}

function bodyProblem(kind: BodyError['kind'], maxBytes: number): string {
  switch (kind) {
    case 'tooLarge':
      return `the body exceeds ${maxBytes} bytes`;
    case 'noRoom':
      return 'no memory is free for the body';
    case 'cut':
      return 'the connection closed before the end of the body';
    case 'stopped':
      return 'the body did not end in time';
    default:
      return unreachable(kind);
  }
}

/** Length that the head states; 0 without one. */
export function statedBytes({headers}: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}
