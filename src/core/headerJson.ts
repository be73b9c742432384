/** JSON inside an HTTP header. */

const HEADER_UNSAFE_CHARS = /[\u007f-\uffff]/g;
/**
 * Tested first: a replacement without a match takes as long as the JSON itself.
 */
const HAS_HEADER_UNSAFE_CHARS = /[\u007f-\uffff]/;

/**
 * Returns JSON in printable ASCII. Node rejects headers with other characters,
 * so that one name or message with an accent would fail the request.
 */
export function headerJson(value: unknown): string {
  const text = JSON.stringify(value);
  if (!HAS_HEADER_UNSAFE_CHARS.test(text)) return text;
  return text.replace(HEADER_UNSAFE_CHARS, char => {
    const code = char.charCodeAt(0).toString(16).padStart(4, '0');
    return `\\u${code}`;
  });
}
