/**
 * Selects the targets of one request, one after the other. A request that only
 * targets with a rate limit could take waits for a token as long as it may be
 * queued.
 */

import {Subject, firstValueFrom, merge, take, timer} from 'rxjs';
import {outageRetryMs} from '../policy/outageRetry';
import type {TargetRecord} from '../site/announcement';
import type {Gateway} from './gateway';
import {maxQueueWaitMs} from './queueWait';
import type {RequestState, RoutedRequest} from './requestState';
import type {ChoiceInput} from './servicePool';

const MS_PER_S = 1_000;
/** Range of Retry-After around the time in which a token becomes free. */
const TOKEN_RETRY_RANGE = {min: 0.5, max: 1.5};
/** Longest Retry-After for a token; a limit of 0 says nothing about its end. */
const MAX_TOKEN_RETRY_MS = 4_000;

/** The targets of one request. */
export class TargetSelection {
  /** Limit of the target that a token was missing for, requests per second. */
  private missingTokenOf: number | undefined;

  constructor(
    private readonly gateway: Gateway,
    private readonly state: RequestState,
    private readonly routed: RoutedRequest
  ) {}

  /** The next target; undefined when none can take the request in time. */
  async next(): Promise<TargetRecord | undefined> {
    for (;;) {
      const input = this.input();
      if (input === undefined || this.state.stopped !== undefined)
        return undefined;
      const choice = this.pool.choose(input);
      if (choice.kind === 'target') return choice.target;
      this.missingTokenOf = undefined;
      if (choice.kind === 'none') return undefined;
      this.missingTokenOf = this.gateway.pushback?.limitOf(choice.target);
      this.gateway.pushback?.noteShortage(choice.target);
      if (!(await this.waitForReply())) return undefined;
    }
  }

  /**
   * Retry-After when no target took the request; `defaultMs` unless all of them
   * are out or have rate limits.
   */
  retryInMs(defaultMs: number): number {
    const input = this.input();
    if (input === undefined) return defaultMs;
    if (this.pool.hasNoUsableTarget(input))
      return outageRetryMs(this.state.remainingMs, Math.random);
    if (this.missingTokenOf === undefined) return defaultMs;
    const {min, max} = TOKEN_RETRY_RANGE;
    const tokenMs = Math.min(
      MAX_TOKEN_RETRY_MS,
      MS_PER_S / this.missingTokenOf
    );
    const spread = min + (max - min) * Math.random();
    return Math.max(defaultMs, tokenMs * spread);
  }

  private get pool() {
    return this.gateway.pool(this.routed.service.name);
  }

  private input(): ChoiceInput | undefined {
    const {gateway, state, routed} = this;
    const {view} = gateway;
    if (view === undefined) return undefined;
    const nowMs = performance.now();
    return gateway.choiceInput(routed.service, view, state.tried, nowMs);
  }

  /** Waits for the leader's next reply; false when the request must not wait. */
  private async waitForReply(): Promise<boolean> {
    const {state, routed, gateway} = this;
    const leftMs = maxQueueWaitMs(routed.route) - state.ageMs;
    const replies$ = gateway.pushback?.replies$;
    if (leftMs <= 0 || replies$ === undefined) return false;
    const stopped$ = new Subject<void>();
    const onCancel = () => stopped$.next();
    state.cancellation.addEventListener('abort', onCancel);
    await firstValueFrom(
      merge(replies$, timer(leftMs), stopped$).pipe(take(1))
    );
    state.cancellation.removeEventListener('abort', onCancel);
    return true;
  }
}
