/** Interface between callers and a gateway; each platform implements the codec. */

import type {IncomingMessage} from 'node:http';

/** A caller's request, without its body. */
export interface CallerRequest {
  /** Id of the caller's attempt; a target's response must repeat it. */
  readonly attemptId?: string;
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  readonly key?: string;
  /** The caller's timeout, milliseconds. */
  readonly waitMs?: number;
  /** Id of the event after which a stream resumes. */
  readonly lastEventId?: string;
  /** Tokens of the prompt; 0 when not given. */
  readonly promptTokens: number;
  /** Maximum number of output tokens; 0 when not given. */
  readonly outputTokens: number;
  /** The caller's estimate of its output tokens; the maximum when not given. */
  readonly expectedOutputTokens: number;
  /** Id of the prompt, which a retry of the request repeats. */
  readonly promptId?: string;
  /** Ids of the parts of the prompt that other requests may have, in order. */
  readonly sharedParts: readonly string[];
  /** Values of the headers that belong to what is asked; a retry repeats them. */
  readonly contentHeaders: readonly string[];
}

/** Why a gateway refuses a request or cannot relay a response to it. */
export type GatewayRefusal =
  /** No site is known yet. Nothing has run. */
  | {readonly kind: 'noSite'; readonly retryInMs: number}
  /** A newer site may route it; this one is unconfirmed. Nothing has run. */
  | {readonly kind: 'staleSite'; readonly retryInMs: number}
  | {readonly kind: 'unknownRoute'}
  | {readonly kind: 'unknownKey'}
  | {readonly kind: 'badRequest'; readonly detail: string}
  | {readonly kind: 'bodyTooLarge'}
  /** The body did not end before the deadline. Nothing has run. */
  | {readonly kind: 'bodyTimeout'}
  /** No slot was free in time. Nothing has run. */
  | {readonly kind: 'overloaded'; readonly retryInMs: number}
  /** No target can take it now. Nothing has run. */
  | {readonly kind: 'noTarget'; readonly retryInMs: number}
  /** All targets that were tried refused it. Nothing has run. */
  | {readonly kind: 'turnedAway'; readonly retryInMs: number}
  /** Targets crash under it, or under a part of its prompt. Nothing has run. */
  | {readonly kind: 'quarantined'; readonly retryInMs: number}
  /** This gateway is stopping. Nothing has run. */
  | {readonly kind: 'stopping'; readonly retryInMs: number}
  /** It may have run; no complete response arrived. */
  | {readonly kind: 'outcomeUnknown'}
  /** It may have run; its deadline has passed. */
  | {readonly kind: 'timedOut'};

/** A complete response that the gateway sends itself. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Header names and body formats of the caller interface. */
export interface CallerCodec {
  read(req: IncomingMessage): CallerRequest;
  refuse(refusal: GatewayRefusal): RefusalResponse;
}
