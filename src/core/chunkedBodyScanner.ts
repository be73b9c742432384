/** Scans a body in chunks, and its trailer fields (RFC 9112, section 7.1). */

import {FieldSectionScanner} from './fieldSectionScanner';
import {isTextByte} from './fieldSyntax';
import {CR, LF, requireLineFeed} from './lineEnd';
import {MalformedResponseError} from './malformedResponse';

const SEMICOLON = 0x3b;
const HEX_RADIX = 16;
/** Sizes with more digits may exceed the safe integers. */
const MAX_SIZE_DIGITS = 13;

type Position =
  | 'size'
  | 'extension'
  | 'sizeEnd'
  | 'data'
  | 'dataEnd'
  | 'dataLineEnd'
  | 'trailers';

/** Takes the bytes after a head that states the coding `chunked`. */
export class ChunkedBodyScanner {
  private position: Position = 'size';
  private size = 0;
  private sizeDigits = 0;
  private readonly trailers = new FieldSectionScanner();
  private hasEnded = false;

  /** Whether the last chunk and the trailers were read. */
  get isWhole(): boolean {
    return this.hasEnded;
  }

  /** Index after the bytes that were read; throws MalformedResponseError. */
  push(bytes: Buffer, start: number): number {
    let at = start;
    while (at < bytes.length && !this.hasEnded) {
      if (this.position === 'data') at = this.skipData(bytes, at);
      else this.pushByte(bytes[at++]!);
    }
    return at;
  }

  private skipData(bytes: Buffer, at: number): number {
    const skipped = Math.min(this.size, bytes.length - at);
    this.size -= skipped;
    if (this.size === 0) this.position = 'dataEnd';
    return at + skipped;
  }

  private pushByte(byte: number): void {
    switch (this.position) {
      case 'size':
        return this.pushSize(byte);
      case 'extension':
        return this.pushExtension(byte);
      case 'sizeEnd':
        requireLineFeed(byte);
        this.position = this.size === 0 ? 'trailers' : 'data';
        return;
      case 'dataEnd':
        if (byte !== CR)
          throw new MalformedResponseError('chunk longer than its size');
        this.position = 'dataLineEnd';
        return;
      case 'dataLineEnd':
        requireLineFeed(byte);
        this.position = 'size';
        this.size = 0;
        this.sizeDigits = 0;
        return;
      case 'trailers':
        this.hasEnded = this.trailers.push(byte);
        return;
      case 'data':
        return;
    }
  }

  private pushSize(byte: number): void {
    const digit = parseInt(String.fromCharCode(byte), HEX_RADIX);
    if (!Number.isNaN(digit)) {
      this.size = this.size * HEX_RADIX + digit;
      if (++this.sizeDigits > MAX_SIZE_DIGITS) throw invalidSize();
      return;
    }
    if (this.sizeDigits === 0) throw invalidSize();
    if (byte === CR) this.position = 'sizeEnd';
    else if (byte === SEMICOLON) this.position = 'extension';
    else throw invalidSize();
  }

  private pushExtension(byte: number): void {
    if (byte === CR) this.position = 'sizeEnd';
    else if (byte === LF) throw new MalformedResponseError('LF without CR');
    else if (!isTextByte(byte))
      throw new MalformedResponseError('invalid chunk extension');
  }
}

function invalidSize(): MalformedResponseError {
  return new MalformedResponseError('invalid chunk size');
}
