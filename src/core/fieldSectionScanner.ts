/** Scans the fields of a head or of a trailer section (RFC 9112, section 5). */

import {isTextByte, isTokenByte} from './fieldSyntax';
import {CR, LF, requireLineFeed} from './lineEnd';
import {MalformedResponseError} from './malformedResponse';

const COLON = 0x3a;
/** Turns a letter into lower case, and leaves a hyphen as it is. */
const LOWER_CASE_BIT = 0x20;

/** Fields that state where a body ends. */
const FRAMING_FIELDS = ['content-length', 'transfer-encoding'] as const;
type FramingField = (typeof FRAMING_FIELDS)[number];

/** Values of the framing fields; those of repeated fields are joined by commas. */
export type FramingHeaders = Readonly<Partial<Record<FramingField, string>>>;

type Position = 'lineStart' | 'name' | 'value' | 'lineEnd' | 'sectionEnd';

/** Takes the bytes after the first line, up to the empty line. */
export class FieldSectionScanner {
  private position: Position = 'lineStart';
  private nameLength = 0;
  /** The framing field that the name may be, as far as it was read. */
  private framingField: FramingField | undefined;
  private value = '';
  private readonly framing: Partial<Record<FramingField, string>> = {};

  /** Framing fields of the section, once it has ended. */
  get framingHeaders(): FramingHeaders {
    return this.framing;
  }

  /** Whether the section ends with this byte; throws MalformedResponseError. */
  push(byte: number): boolean {
    switch (this.position) {
      case 'lineStart':
        if (byte === CR) this.position = 'sectionEnd';
        else this.beginName(byte);
        return false;
      case 'name':
        if (byte === COLON) this.beginValue();
        else this.continueName(byte);
        return false;
      case 'value':
        if (byte === CR) this.position = 'lineEnd';
        else this.continueValue(byte);
        return false;
      case 'lineEnd':
        requireLineFeed(byte);
        this.endField();
        return false;
      case 'sectionEnd':
        requireLineFeed(byte);
        return true;
    }
  }

  private beginName(byte: number): void {
    if (byte === LF) throw new MalformedResponseError('LF without CR');
    if (byte === COLON) throw new MalformedResponseError('empty field name');
    this.position = 'name';
    this.nameLength = 0;
    const first = byte | LOWER_CASE_BIT;
    this.framingField = FRAMING_FIELDS.find(
      name => name.charCodeAt(0) === first
    );
    this.continueName(byte);
  }

  private continueName(byte: number): void {
    if (!isTokenByte(byte))
      throw new MalformedResponseError('invalid field name');
    const expected = this.framingField?.charCodeAt(this.nameLength);
    if (expected !== (byte | LOWER_CASE_BIT)) this.framingField = undefined;
    this.nameLength++;
  }

  private beginValue(): void {
    this.position = 'value';
    this.value = '';
    if (this.framingField?.length !== this.nameLength)
      this.framingField = undefined;
  }

  private continueValue(byte: number): void {
    if (byte === LF) throw new MalformedResponseError('LF without CR');
    if (!isTextByte(byte))
      throw new MalformedResponseError('invalid field value');
    if (this.framingField !== undefined)
      this.value += String.fromCharCode(byte);
  }

  private endField(): void {
    this.position = 'lineStart';
    const {framingField, framing} = this;
    if (framingField === undefined) return;
    const value = this.value.trim();
    const earlier = framing[framingField];
    framing[framingField] =
      earlier === undefined ? value : `${earlier}, ${value}`;
  }
}
