/** A caller's request on its way through the filters. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Progress} from '../core/progress';
import type {OnceRule} from '../rules/rule';
import type {CallerResume, ChatRequest} from './chat/chatRequest';
import type {PoolLimit, RuleIndex} from '../rules/ruleIndex';

/** As received. */
export interface ReceivedCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requestId: string;
  /** Rules in force when it came; the same for the whole call. */
  readonly rules: RuleIndex;
}

/** With its customer known. */
export interface IdentifiedCall extends ReceivedCall {
  readonly customer: string;
}

/** Body that was read ahead, or is still on its way. */
export type CallBody =
  | {readonly kind: 'none'}
  | {readonly kind: 'buffered'; readonly bytes: Buffer}
  /** Passed on as it comes: it can be sent once only. */
  | {readonly kind: 'streaming'};

/** With its pool, cost and kind known. */
export interface ClassifiedCall extends IdentifiedCall {
  readonly progress: Progress;
  readonly pool: string;
  readonly limit: PoolLimit;
  readonly body: CallBody;
  /** Present for calls that are not idempotent. */
  readonly once: OnceRule | undefined;
  /** Present for chat completions. */
  readonly chat: ChatRequest | undefined;
  /** Where a caller's own stream goes on. */
  readonly resume: CallerResume | undefined;
  readonly priority: number;
}

/** One step of the chain: passes on an enriched call, or throws a refusal. */
export type Filter<I, O> = (
  call: I,
  next: (call: O) => Promise<void>
) => Promise<void>;

/** Runs `second` on what `first` passes on. */
export function chain<A, B, C>(
  first: Filter<A, B>,
  second: Filter<B, C>
): Filter<A, C> {
  return (call, next) => first(call, passed => second(passed, next));
}
