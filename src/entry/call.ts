/** A caller's request on its way through the filters. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CallContext} from '../core/callContext';
import type {OnceRule} from '../rules/rule';
import type {CallerResume, ChatRequest} from './chat/chatRequest';
import type {PoolLimit, RuleIndex} from '../rules/ruleIndex';

/** A request as received. */
export interface ReceivedCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requestId: string;
  /** Rules that were active when it arrived; they apply to the whole call. */
  readonly rules: RuleIndex;
}

/** A request whose customer is known. */
export interface IdentifiedCall extends ReceivedCall {
  readonly customer: string;
}

/** A request body, either read completely or still arriving. */
export type CallBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'buffered'; readonly bytes: Buffer}
  /** Forwarded while it arrives, so it can be sent only once. */
  | {readonly kind: 'streaming'};

/** A request whose pool, limits, deadline and kind are known. */
export interface ClassifiedCall extends IdentifiedCall {
  readonly progress: CallContext;
  readonly pool: string;
  readonly limit: PoolLimit;
  readonly body: CallBody;
  /** Present for calls that are not idempotent. */
  readonly once: OnceRule | undefined;
  /** Present for chat completions. */
  readonly chat: ChatRequest | undefined;
  /** Present when the caller resumes a stream of its own. */
  readonly resume: CallerResume | undefined;
  readonly priority: number;
}

/** One step of the chain: calls `next` with an enriched call, or refuses. */
export type Filter<I, O> = (
  call: I,
  next: (call: O) => Promise<void>
) => Promise<void>;

/**
 * Combines two filters: `second` gets the call that `first` passes to `next`.
 */
export function chain<A, B, C>(
  first: Filter<A, B>,
  second: Filter<B, C>
): Filter<A, C> {
  return (call, next) => first(call, passed => second(passed, next));
}
