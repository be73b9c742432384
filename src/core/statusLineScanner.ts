/** Scans the status line of a response (RFC 9112, section 4). */

import {isTextByte} from './fieldSyntax';
import {CR, LF, requireLineFeed} from './lineEnd';
import {MalformedResponseError} from './malformedResponse';

const SPACE = 0x20;
const ZERO = 0x30;
const NINE = 0x39;
const STATUS_DIGITS = 3;
const MIN_STATUS = 100;
const MAX_STATUS = 599;

type Position = 'version' | 'status' | 'reason' | 'lineEnd';

/** Takes the bytes of the first line. */
export class StatusLineScanner {
  private position: Position = 'version';
  private digits = '';

  /** Status, once the line has ended. */
  get status(): number {
    return Number(this.digits);
  }

  /** Whether the line ends with this byte; throws MalformedResponseError. */
  push(byte: number): boolean {
    switch (this.position) {
      case 'version':
        if (byte === SPACE) this.position = 'status';
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
