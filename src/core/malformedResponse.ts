/** Bytes that are no response by HTTP/1.0 or HTTP/1.1. */

/** Thrown for the first byte that can't be part of a response. */
export class MalformedResponseError extends Error {
  constructor(detail: string) {
    super(detail);
    this.name = 'MalformedResponseError';
  }
}
