/**
 * Record format on disk: payload length, payload checksum and checksum of these
 * two fields, followed by the payload as JSON. The header checksum
 * distinguishes a flipped bit in the length from a truncated record.
 */

import {crc32} from 'node:zlib';

const HEADER_BYTES = 12;

/** Result of scanning a file to its end or first fault. */
export type FrameEnd =
  | {readonly kind: 'whole'}
  /** The file ends within a record, which therefore was never acknowledged. */
  | {readonly kind: 'torn'; readonly atByte: number}
  /** A complete record is corrupt. It may have been acknowledged. */
  | {readonly kind: 'damaged'; readonly atByte: number};

/** The records of a file up to its end or first fault. */
export interface FrameScan {
  readonly payloads: readonly unknown[];
  readonly end: FrameEnd;
}

/** Encodes one record. */
export function encodeFrame(payload: unknown): Buffer {
  const body = Buffer.from(JSON.stringify(payload), 'utf8');
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32LE(body.length, 0);
  frame.writeUInt32LE(crc32(body), 4);
  frame.writeUInt32LE(crc32(frame.subarray(0, 8)), 8);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Decodes the records of a file. */
export function scanFrames(file: Buffer): FrameScan {
  const payloads: unknown[] = [];
  let atByte = 0;
  while (atByte < file.length) {
    const rest = file.subarray(atByte);
    const fault = frameFault(rest);
    if (fault !== undefined) return {payloads, end: {kind: fault, atByte}};
    const end = HEADER_BYTES + rest.readUInt32LE(0);
    payloads.push(
      JSON.parse(rest.subarray(HEADER_BYTES, end).toString('utf8'))
    );
    atByte += end;
  }
  return {payloads, end: {kind: 'whole'}};
}

function frameFault(rest: Buffer): 'torn' | 'damaged' | undefined {
  if (rest.length < HEADER_BYTES) return 'torn';
  if (crc32(rest.subarray(0, 8)) !== rest.readUInt32LE(8))
    // A crash may extend a file before its data is written; it then reads as
    // zeros.
    return rest.every(byte => byte === 0) ? 'torn' : 'damaged';
  const end = HEADER_BYTES + rest.readUInt32LE(0);
  if (rest.length < end) return 'torn';
  const body = rest.subarray(HEADER_BYTES, end);
  return crc32(body) === rest.readUInt32LE(4) ? undefined : 'damaged';
}
