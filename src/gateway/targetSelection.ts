/**
 * Selects the targets of one request, one after the other. A request that no target
 * can take now waits for a token or the end of a rest, as long as it may be queued.
 */

import type {Observable} from 'rxjs';
import {NEVER, Subject, firstValueFrom, merge, take, timer} from 'rxjs';
import {unreachable} from '../core/errors';
import {outageRetryMs} from '../policy/admission/outageRetry';
import {restRetryMs} from '../policy/admission/restRetry';
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
      this.missingTokenOf = undefined;
      const choice = this.pool.choose(input);
      switch (choice.kind) {
        case 'target':
          return choice.target;
        case 'none':
          return undefined;
        case 'needsToken':
          if (!(await this.waitForToken(choice.target))) return undefined;
          break;
        case 'atRest':
          if (choice.waitMs > this.waitLeftMs) return undefined;
          await this.wait(choice.waitMs, NEVER);
          break;
        default:
          return unreachable(choice);
      }
    }
  }

  /**
   * Time until the first target may be used, if all asked for rest for longer than
   * the request may be queued; otherwise 0.
   */
  get tooLongRestMs(): number {
    const input = this.input();
    if (input === undefined) return 0;
    const restMs = this.pool.restMs(input);
    return restMs > this.waitLeftMs ? restMs : 0;
  }

  /**
   * Retry-After when no target took the request; `defaultMs` unless all of them
   * are out, at rest, or have rate limits.
   */
  retryInMs(defaultMs: number): number {
    const input = this.input();
    if (input === undefined) return defaultMs;
    if (this.pool.hasNoUsableTarget(input))
      return outageRetryMs(this.state.remainingMs, Math.random);
    const restMs = this.pool.restMs(input);
    if (restMs > 0)
      return Math.max(defaultMs, restRetryMs(restMs, Math.random));
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

  /** How much longer the request may wait. */
  private get waitLeftMs(): number {
    return maxQueueWaitMs(this.routed.route) - this.state.ageMs;
  }

  private input(): ChoiceInput | undefined {
    const {gateway, state, routed} = this;
    const {view} = gateway;
    if (view === undefined) return undefined;
    const nowMs = performance.now();
    return gateway.choiceInput(routed.service, view, state.tried, nowMs);
  }

  /** Waits for the leader's next reply; false when the request must not wait. */
  private async waitForToken(target: TargetRecord): Promise<boolean> {
    const {pushback} = this.gateway;
    if (pushback === undefined) return false;
    this.missingTokenOf = pushback.limitOf(target);
    pushback.noteShortage(target);
    const {waitLeftMs} = this;
    if (waitLeftMs <= 0) return false;
    await this.wait(waitLeftMs, pushback.replies$);
    return true;
  }

  /** Waits until the time is over, `signal$` emits or the request is cancelled. */
  private async wait(ms: number, signal$: Observable<void>): Promise<void> {
    const {cancellation} = this.state;
    const cancelled$ = new Subject<void>();
    const onCancel = () => cancelled$.next();
    cancellation.addEventListener('abort', onCancel);
    const end$ = merge(signal$, timer(ms), cancelled$).pipe(take(1));
    await firstValueFrom(end$);
    cancellation.removeEventListener('abort', onCancel);
  }
}
