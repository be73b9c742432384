/** How one attempt of a request ended. */

import type {BodyFraming} from '../core/bodyFraming';
import type {ConnectionState} from '../core/connectionReset';
import type {WholeResponse} from './wholeResponse';

/** Outcome of an attempt, which decides whether a retry may follow. */
export type AttemptEnd =
  /** The response was relayed to the caller as complete. */
  | {readonly kind: 'answered'}
  /** The target did not run the request. */
  | {
      readonly kind: 'notRun';
      readonly wasSent: boolean;
      readonly reason: string;
    }
  /** It may have run; no complete response to this request arrived. */
  | {readonly kind: 'lost'; readonly reason: string}
  /** The target responded with a server error, which may be relayed. */
  | {readonly kind: 'failed'; readonly answer: WholeResponse}
  /** The caller got a part of the response, and its connection was closed. */
  | {readonly kind: 'cut'; readonly reason: string}
  /** The request was cancelled; see `StopReason`. */
  | {readonly kind: 'stopped'};

/** What is known of the response of one attempt, for logs and metrics. */
export interface ResponseTrace {
  /** Undefined until the response headers arrived. */
  framing?: BodyFraming;
  connection?: ConnectionState;
  eventCount: number;
  /** Whether the end of the connection may have cut the response. */
  endUnmarked?: boolean;
}
