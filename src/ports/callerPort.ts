/** How callers speak to a gateway; another interface is another codec. */

import type {IncomingMessage} from 'node:http';

/** What a caller's request says beside its body. */
export interface CallerRequest {
  /** Names one attempt of the caller; answers are checked against it. */
  readonly attemptId?: string;
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  readonly key?: string;
  /** How long the caller waits, milliseconds. */
  readonly waitMs?: number;
  /** Where a stream is to go on: after this event. */
  readonly lastEventId?: string;
  /** Tokens of the prompt; 0 when not told. */
  readonly promptTokens: number;
  /** Most tokens of the answer; 0 when not told. */
  readonly outputTokens: number;
}

/** Why a gateway answers itself. */
export type GatewayRefusal =
  | {readonly kind: 'noSite'; readonly retryInMs: number}
  | {readonly kind: 'unknownRoute'}
  | {readonly kind: 'unknownKey'}
  | {readonly kind: 'badRequest'; readonly detail: string}
  | {readonly kind: 'bodyTooLarge'}
  /** No place in time. Nothing has run. */
  | {readonly kind: 'overloaded'; readonly retryInMs: number}
  /** No target can take it now. Nothing has run. */
  | {readonly kind: 'noTarget'; readonly retryInMs: number}
  /** Targets refused it before it ran. */
  | {readonly kind: 'turnedAway'; readonly retryInMs: number}
  /** This gateway stops. Nothing has run. */
  | {readonly kind: 'stopping'; readonly retryInMs: number}
  /** It may have run; its answer is lost. */
  | {readonly kind: 'outcomeUnknown'}
  /** It may have run; its time is over. */
  | {readonly kind: 'timedOut'};

/** A whole answer of our own. */
export interface OwnAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Names and formats towards callers. */
export interface CallerCodec {
  read(req: IncomingMessage): CallerRequest;
  refuse(refusal: GatewayRefusal): OwnAnswer;
}
