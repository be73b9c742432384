/**
 * Lets requests through to the target: one fair queue for what all entries
 * together send, and never more at once than the target bears now.
 */

import type {CancelSignal} from '../core/cancellation';
import type {Metrics} from '../core/metrics';
import {Refusal, RefusalError, refuse} from '../core/refusal';
import type {Dispatch} from '../core/wire';
import {FairQueue, QueueItem} from '../policy/fairQueue';
import type {CustomerRule} from '../rules/rule';
import type {RuleIndex} from '../rules/ruleIndex';

const MAX_QUEUED = 256;
const MAX_QUEUED_PER_CUSTOMER = 128;
/** A shorter stay in the queue is no wait. */
const QUEUED_MS = 1;
const QUEUE_RETRY_MS = 500;

/** What the gate asks its surroundings, fresh at each decision. */
export interface GateView {
  readonly targetId: string;
  rules(): RuleIndex | undefined;
  /** Requests that may run at once now. */
  limit(): number;
  /** See `admissionRefusal`. */
  refusal(dispatch: Dispatch): Refusal | undefined;
}

interface Waiting {
  readonly dispatch: Dispatch;
  admit(inCredit: boolean): void;
  fail(err: RefusalError): void;
}

/** A request's place at the target; released exactly once. */
export interface Slot {
  /** Milliseconds spent in the queue. */
  readonly queuedMs: number;
  /** Whether the customer has used less than its share here. */
  readonly inCredit: boolean;
  /** `servedMs` only after a good answer. */
  release(servedMs?: number): void;
}

/** The queue and the slots of one target. */
export class Gate {
  private readonly queue = new FairQueue<Waiting>({
    maxQueued: MAX_QUEUED,
    maxQueuedPerCustomer: MAX_QUEUED_PER_CUSTOMER,
  });
  private running = 0;
  private expiry: NodeJS.Timeout | undefined;

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

  /** Resolves when the request may start; rejects with RefusalError. */
  enter(dispatch: Dispatch, signal: CancelSignal): Promise<Slot> {
    const refusal = this.view.refusal(dispatch);
    if (refusal !== undefined) return Promise.reject(new RefusalError(refusal));
    const enteredAtMs = performance.now();
    return new Promise((resolve, reject) => {
      let waits = true;
      const waiting: Waiting = {
        dispatch,
        admit: inCredit => {
          waits = false;
          const queuedMs = performance.now() - enteredAtMs;
          if (queuedMs >= QUEUED_MS) this.metrics.count('gate.queued');
          resolve(this.slot(dispatch, queuedMs, inCredit));
        },
        fail: reject,
      };
      this.offer(waiting, enteredAtMs);
      // Most start at once, and have nothing to abandon.
      if (!waits) return;
      signal.addEventListener(
        'abort',
        () => this.abandon(dispatch.requestId, reject),
        {once: true}
      );
    });
  }

  /** Starts what may start now; called whenever the limit may have grown. */
  pump(): void {
    this.expire();
    for (;;) {
      const freeSlots = this.view.limit() - this.running;
      const item = this.queue.take(performance.now(), freeSlots);
      if (item === undefined) break;
      this.start(item);
    }
    this.scheduleExpiry();
  }

  /** Refuses all that waits and may no longer start, as when a zone goes out. */
  recheck(): void {
    for (const item of this.queue.waiting()) {
      const refusal = this.view.refusal(item.payload.dispatch);
      if (refusal === undefined) continue;
      this.queue.remove(item.id);
      item.payload.fail(new RefusalError(refusal));
    }
    this.pump();
  }

  private offer(waiting: Waiting, nowMs: number): void {
    const {dispatch} = waiting;
    const rule = this.view.rules()?.customerRule(dispatch.customer);
    if (this.isOverOwnQueue(dispatch.customer, rule)) {
      const detail = `the customer has ${rule?.queue} queued here already`;
      const {targetId} = this.view;
      waiting.fail(
        refuse('customer-limit', 'gate', targetId, detail, QUEUE_RETRY_MS)
      );
      return;
    }
    this.offerItem(queueItem(waiting, rule, nowMs), nowMs);
    this.pump();
  }

  private offerItem(item: QueueItem<Waiting>, nowMs: number): void {
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

  private isOverOwnQueue(customer: string, rule: CustomerRule | undefined) {
    if (rule?.queue === undefined) return false;
    // A request that can start at once does not count as queued.
    const free = this.view.limit() - this.running - this.queue.size;
    if (free > 0) return false;
    const own = this.queue.waiting().filter(item => item.customer === customer);
    return own.length >= rule.queue;
  }

  /** Rules may have changed while the request waited: judged again. */
  private start(item: QueueItem<Waiting>): void {
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
        this.pump();
      },
    };
  }

  private abandon(requestId: string, reject: (err: Error) => void): void {
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

  private expire(): void {
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

  /** A request that waited in vain gets its answer at once, not at the next event. */
  private scheduleExpiry(): void {
    clearTimeout(this.expiry);
    const at = this.queue.nextExpiryAt();
    if (at === Infinity) return;
    this.expiry = setTimeout(
      () => this.pump(),
      Math.max(1, at - performance.now())
    );
  }
}

function queueItem(
  waiting: Waiting,
  rule: CustomerRule | undefined,
  nowMs: number
): QueueItem<Waiting> {
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
