/**
 * Admits requests to the target: a fair queue across all entries, and no more
 * concurrent requests than the target's current limit.
 */

import type {CancelSignal} from '../core/cancellation';
import type {Metrics} from '../core/metrics';
import {Refusal, RefusalError, refuse} from '../core/refusal';
import type {Dispatch} from '../core/wire';
import {FairQueue, QueueItem} from '../policy/admission/fairQueue';
import type {CustomerRule} from '../rules/rule';
import type {RuleIndex} from '../rules/ruleIndex';

const MAX_QUEUED = 256;
const MAX_QUEUED_PER_CUSTOMER = 128;
/** Requests admitted sooner than this are not counted as queued. */
const MIN_COUNTED_WAIT_MS = 1;
const QUEUE_FULL_RETRY_AFTER_MS = 500;

/** What the gate reads from its agent, at each decision. */
export interface GateView {
  readonly targetId: string;
  rules(): RuleIndex | undefined;
  /** Current concurrency limit of the target. */
  limit(): number;
  /** See `admissionRefusal`. */
  refusal(dispatch: Dispatch): Refusal | undefined;
}

interface WaitingRequest {
  readonly dispatch: Dispatch;
  admit(inCredit: boolean): void;
  fail(err: RefusalError): void;
}

/** One concurrent request at the target; only the first release counts. */
export interface Slot {
  /** Milliseconds spent in the queue. */
  readonly queuedMs: number;
  /** Whether the customer has used less than its fair share at this target. */
  readonly inCredit: boolean;
  /** `servedMs`: time at the target; only after a complete response. */
  release(servedMs?: number): void;
}

/** The queue and the slots of one target. */
export class Gate {
  private readonly queue = new FairQueue<WaitingRequest>({
    maxQueued: MAX_QUEUED,
    maxQueuedPerCustomer: MAX_QUEUED_PER_CUSTOMER,
  });
  private running = 0;
  private expiryTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly view: GateView,
    private readonly metrics: Metrics
  ) {}

  get outstanding(): number {
    return this.running;
  }

  get queued(): number {
    return this.queue.size;
  }

  /**
   * Resolves with a slot when the request may start; rejects with RefusalError.
   */
  acquire(dispatch: Dispatch, signal: CancelSignal): Promise<Slot> {
    const refusal = this.view.refusal(dispatch);
    if (refusal !== undefined) return Promise.reject(new RefusalError(refusal));
    const enteredAtMs = performance.now();
    return new Promise((resolve, reject) => {
      let isWaiting = true;
      const waiting: WaitingRequest = {
        dispatch,
        admit: inCredit => {
          isWaiting = false;
          const queuedMs = performance.now() - enteredAtMs;
          if (queuedMs >= MIN_COUNTED_WAIT_MS)
            this.metrics.count('gate.queued');
          resolve(this.slot(dispatch, queuedMs, inCredit));
        },
        fail: reject,
      };
      this.enqueue(waiting, enteredAtMs);
      // Admitted at once: there is no queued request to cancel.
      if (!isWaiting) return;
      signal.addEventListener(
        'abort',
        () => this.cancelQueued(dispatch.requestId, reject),
        {once: true}
      );
    });
  }

  /**
   * Admits queued requests up to the limit; called when the limit may have
   * grown.
   */
  admitQueued(): void {
    this.expireQueued();
    for (;;) {
      const freeSlots = this.view.limit() - this.running;
      const item = this.queue.take(performance.now(), freeSlots);
      if (item === undefined) break;
      this.admitItem(item);
    }
    this.scheduleExpiry();
  }

  /**
   * Refuses queued requests that may no longer start, such as in a zone that is
   * out.
   */
  recheckQueued(): void {
    for (const item of this.queue.waiting()) {
      const refusal = this.view.refusal(item.payload.dispatch);
      if (refusal === undefined) continue;
      this.queue.remove(item.id);
      item.payload.fail(new RefusalError(refusal));
    }
    this.admitQueued();
  }

  private enqueue(waiting: WaitingRequest, nowMs: number): void {
    const {dispatch} = waiting;
    const rule = this.view.rules()?.customerRule(dispatch.customer);
    if (this.isCustomerQueueFull(dispatch.customer, rule)) {
      const detail = `the customer has ${rule?.queue} queued here already`;
      const {targetId} = this.view;
      waiting.fail(
        refuse(
          'customer-limit',
          'gate',
          targetId,
          detail,
          QUEUE_FULL_RETRY_AFTER_MS
        )
      );
      return;
    }
    this.offerItem(toQueueItem(waiting, rule, nowMs), nowMs);
    this.admitQueued();
  }

  private offerItem(item: QueueItem<WaitingRequest>, nowMs: number): void {
    const result = this.queue.offer(item, nowMs);
    if (result.kind === 'queued') return;
    const {reason, retryAfterMs} = result;
    item.payload.fail(
      refuse(
        reason,
        'gate',
        this.view.targetId,
        `${this.queue.size} queued`,
        retryAfterMs
      )
    );
  }

  private isCustomerQueueFull(
    customer: string,
    rule: CustomerRule | undefined
  ) {
    if (rule?.queue === undefined) return false;
    // A request that can start at once does not count as queued.
    const freeSlots = this.view.limit() - this.running - this.queue.size;
    if (freeSlots > 0) return false;
    const customerItems = this.queue
      .waiting()
      .filter(item => item.customer === customer);
    return customerItems.length >= rule.queue;
  }

  /**
   * Checks the request again, since rules may have changed while it was queued.
   */
  private admitItem(item: QueueItem<WaitingRequest>): void {
    const refusal = this.view.refusal(item.payload.dispatch);
    if (refusal !== undefined) {
      this.queue.finished(item.customer);
      item.payload.fail(new RefusalError(refusal));
      return;
    }
    this.running++;
    this.metrics.count('gate.admitted', {customer: item.customer});
    item.payload.admit(this.queue.isInCredit(item.customer));
  }

  private slot(dispatch: Dispatch, queuedMs: number, inCredit: boolean): Slot {
    let held = true;
    return {
      queuedMs,
      inCredit,
      release: servedMs => {
        if (!held) return;
        held = false;
        this.running--;
        this.queue.finished(dispatch.customer);
        if (servedMs !== undefined) this.queue.served(dispatch.cost, servedMs);
        this.admitQueued();
      },
    };
  }

  private cancelQueued(requestId: string, reject: (err: Error) => void): void {
    if (this.queue.remove(requestId) === undefined) return;
    reject(
      refuse(
        'deadline-passed',
        'gate',
        this.view.targetId,
        'the caller went away'
      )
    );
  }

  private expireQueued(): void {
    for (const item of this.queue.expire(performance.now())) {
      item.payload.fail(
        refuse(
          'deadline-passed',
          'gate',
          this.view.targetId,
          'expired in the queue'
        )
      );
    }
  }

  /** Refuses an expired request at its deadline, not only at the next event. */
  private scheduleExpiry(): void {
    clearTimeout(this.expiryTimer);
    const nextExpiryAtMs = this.queue.nextExpiryAt();
    if (nextExpiryAtMs === Infinity) return;
    this.expiryTimer = setTimeout(
      () => this.admitQueued(),
      Math.max(1, nextExpiryAtMs - performance.now())
    );
  }
}

function toQueueItem(
  waiting: WaitingRequest,
  rule: CustomerRule | undefined,
  nowMs: number
): QueueItem<WaitingRequest> {
  const {dispatch} = waiting;
  return {
    id: dispatch.requestId,
    customer: dispatch.customer,
    share: rule?.share ?? 1,
    cost: dispatch.cost,
    deadlineAt: nowMs + dispatch.remainingMs,
    priority: dispatch.priority,
    payload: waiting,
    concurrentLimit: rule?.concurrent,
  };
}
