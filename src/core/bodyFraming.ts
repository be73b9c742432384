/** What marks the end of a body (RFC 9112, section 6.3). */

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

/** Framing of a request body that is sent. */
export type RequestFraming =
  | {readonly kind: 'length'; readonly bytes: number}
  | {readonly kind: 'chunked'};

/** Whether a request that was received has a transfer coding other than chunks. */
export function hasUnknownCoding({
  headers,
}: Pick<IncomingMessage, 'headers'>): boolean {
  const coding = headers['transfer-encoding']?.toLowerCase();
  return coding !== undefined && coding !== 'chunked';
}

/** Framing under which the body of a request that was received is sent on. */
export function forwardedFraming({
  headers,
}: Pick<IncomingMessage, 'headers'>): RequestFraming {
  return headers['transfer-encoding'] === undefined
    ? {kind: 'length', bytes: Number(headers['content-length'] ?? 0)}
    : {kind: 'chunked'};
}
