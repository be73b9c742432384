/** Characters of header and trailer fields (RFC 9110, section 5). */

const TAB = 0x09;
const FIRST_PRINTABLE = 0x20;
const DELETE = 0x7f;

const TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
const TOKEN_BYTES: readonly boolean[] = Array.from({length: 256}, (_, byte) => {
  const char = String.fromCharCode(byte);
  return /[0-9A-Za-z]/.test(char) || TOKEN_PUNCTUATION.includes(char);
});

/** Whether a field name may hold the byte. */
export function isTokenByte(byte: number): boolean {
  return TOKEN_BYTES[byte] === true;
}

/** Whether all names in a flat list of names and values are tokens. */
export function hasOnlyTokenNames(raw: readonly string[]): boolean {
  for (let i = 0; i < raw.length; i += 2)
    if (!isToken(raw[i] ?? '')) return false;
  return true;
}

function isToken(name: string): boolean {
  for (let i = 0; i < name.length; i++)
    if (!isTokenByte(name.charCodeAt(i))) return false;
  return name.length > 0;
}

/** Whether a field value or a reason phrase may hold the byte. */
export function isTextByte(byte: number): boolean {
  return byte === TAB || (byte >= FIRST_PRINTABLE && byte !== DELETE);
}
