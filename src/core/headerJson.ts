/** JSON inside an HTTP header. */

const NON_PRINTABLE_ASCII = /[\u007f-\uffff]/g;
/** Asked first: to replace nothing takes as long as the JSON itself. */
const HAS_NON_PRINTABLE_ASCII = /[\u007f-\uffff]/;

/**
 * JSON in printable ASCII. A header with any other character is refused by
 * Node, so one name or message with an accent would fail the request.
 */
export function headerJson(value: unknown): string {
  const text = JSON.stringify(value);
  if (!HAS_NON_PRINTABLE_ASCII.test(text)) return text;
  return text.replace(NON_PRINTABLE_ASCII, char => {
    const code = char.charCodeAt(0).toString(16).padStart(4, '0');
    return `\\u${code}`;
  });
}
