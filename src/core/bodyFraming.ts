/** What marks the end of a response body (RFC 9112, section 6.3). */

import type {IncomingMessage} from 'node:http';

/**
 * `none`: the response has no body. `close`: the body ends with the connection, so
 * nothing shows whether it is whole. `unsupported`: a transfer coding that was not
 * asked for.
 */
export type BodyFraming =
  'none' | 'length' | 'chunked' | 'close' | 'unsupported';

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Framing of the body of a response that was received. */
export function framingOf(
  res: Pick<IncomingMessage, 'headers' | 'statusCode'> & {
    readonly req?: {readonly method?: string};
  }
): BodyFraming {
  const {headers, statusCode, req} = res;
  if (
    req?.method === 'HEAD' ||
    statusCode === NO_CONTENT ||
    statusCode === NOT_MODIFIED
  )
    return 'none';
  const coding = headers['transfer-encoding']?.toLowerCase();
  switch (coding) {
    case undefined:
      return headers['content-length'] === undefined ? 'close' : 'length';
    case 'chunked':
      return 'chunked';
    // Obsolete: the body is not encoded, and nothing marks its end.
    case 'identity':
      return 'close';
    default:
      return 'unsupported';
  }
}
