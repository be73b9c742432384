/** Status of the answer to bytes that are no request. */

const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Status code and reason for the code of Node's `clientError`. */
export function clientErrorStatus(code: string | undefined): string {
  switch (code) {
    case HEADER_OVERFLOW:
      return '431 Request Header Fields Too Large';
    case REQUEST_TIMEOUT:
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
}
