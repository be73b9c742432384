/** Scans the status line of a response (RFC 9112, section 4). */

import {isTextByte} from './fieldSyntax';
import {CR, LF, requireLineFeed} from './lineEnd';
import {MalformedResponseError} from './malformedResponse';

const SPACE = 0x20;
const ZERO = 0x30;
const NINE = 0x39;
const VERSION_PREFIX = 'HTTP/1.';
/** Minor versions that are spoken, as bytes. */
const MINOR_VERSIONS = [ZERO, ZERO + 1];
const STATUS_DIGITS = 3;
const MIN_STATUS = 100;
const MAX_STATUS = 599;

type Position =
  'prefix' | 'minorVersion' | 'space' | 'status' | 'reason' | 'lineEnd';

/** Takes the bytes of the first line. */
export class StatusLineScanner {
  private position: Position = 'prefix';
  private prefixLength = 0;
  private digits = '';

  /** Status, once the line has ended. */
  get status(): number {
    return Number(this.digits);
  }

  /** Whether the line ends with this byte; throws MalformedResponseError. */
  push(byte: number): boolean {
    switch (this.position) {
      case 'prefix':
        if (byte !== VERSION_PREFIX.charCodeAt(this.prefixLength++))
          throw unknownVersion();
        if (this.prefixLength === VERSION_PREFIX.length)
          this.position = 'minorVersion';
        return false;
      case 'minorVersion':
        if (!MINOR_VERSIONS.includes(byte)) throw unknownVersion();
        this.position = 'space';
        return false;
      case 'space':
        if (byte !== SPACE) throw unknownVersion();
        this.position = 'status';
        return false;
      case 'status':
        this.pushStatus(byte);
        return false;
      case 'reason':
        this.pushReason(byte);
        return false;
      case 'lineEnd':
        requireLineFeed(byte);
        return true;
    }
  }

  private pushStatus(byte: number): void {
    const isWhole = this.digits.length === STATUS_DIGITS;
    // Some peers leave out the blank before an empty reason phrase.
    if (isWhole && byte === CR) this.position = 'lineEnd';
    else if (isWhole && byte === SPACE) this.position = 'reason';
    else if (isWhole || byte < ZERO || byte > NINE)
      throw new MalformedResponseError('invalid status');
    else this.addDigit(byte);
  }

  private addDigit(byte: number): void {
    this.digits += String.fromCharCode(byte);
    if (this.digits.length < STATUS_DIGITS) return;
    if (this.status < MIN_STATUS || this.status > MAX_STATUS)
      throw new MalformedResponseError(`status ${this.digits}`);
  }

  private pushReason(byte: number): void {
    if (byte === CR) this.position = 'lineEnd';
    else if (byte === LF) throw new MalformedResponseError('LF without CR');
    else if (!isTextByte(byte))
      throw new MalformedResponseError('invalid reason phrase');
  }
}

function unknownVersion(): MalformedResponseError {
  return new MalformedResponseError('neither HTTP/1.0 nor HTTP/1.1');
}
