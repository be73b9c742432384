/**
 * Weighted fair queue among customers, by start tags over virtual time.
 *
 * Customers are served in proportion to their shares of cost; within one
 * customer the higher priority goes first, then the older item. Priorities
 * never reach across customers: nobody gains by calling all work urgent.
 */

/** One waiting request. */
export interface QueueItem<T> {
  readonly id: string;
  readonly customer: string;
  /** Weight of the customer, above 0. */
  readonly share: number;
  /** Estimated work, above 0; see `requestCost`. */
  readonly cost: number;
  /** On the same clock as every `nowMs` here. */
  readonly deadlineAt: number;
  /** Higher goes first among the customer's own items. */
  readonly priority: number;
  readonly payload: T;
  /** Most items of the customer in service at once; no limit when absent. */
  readonly concurrentLimit?: number;
}

/** Bounds of the queue. */
export interface QueueLimits {
  readonly maxQueued: number;
  readonly maxQueuedPerCustomer: number;
}

/** Why an item was refused; names of refusals in src/core/refusal.ts. */
export type OfferRefusal =
  'overloaded' | 'customer-limit' | 'deadline-too-short';

/** Answer to an offer. */
export type OfferResult =
  | {readonly kind: 'queued'}
  | {
      readonly kind: 'refused';
      readonly reason: OfferRefusal;
      /** Milliseconds after which room is expected. */
      readonly retryAfterMs: number;
    };

interface CustomerQueue<T> {
  readonly customer: string;
  share: number;
  concurrentLimit: number;
  /** Sorted: highest priority first, then oldest. */
  readonly items: QueueItem<T>[];
  queuedCost: number;
  running: number;
  /** Virtual time at which the customer's next item starts. */
  startTag: number;
}

/** Items, and part of its slots, that a customer may have waiting. */
const MIN_BACKLOG = 2;
const BACKLOG_PART = 0.5;
/** Part of the slots that customers over their share leave free. */
const RESERVED_PART = 0.25;
/**
 * Items of mean cost that a customer may run at once after using less than its
 * share. At one of many targets a small share is one item in seconds, so that
 * two which happen to meet there would otherwise wait that long.
 */
const CREDIT_ITEMS = 8;
const COST_SMOOTHING = 0.05;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 30_000;
/** Weight of the newest sample in the estimate of the service rate. */
const RATE_SMOOTHING = 0.1;
/** Refused early only if the expected wait exceeds the time left by this. */
const WAIT_TOLERANCE = 1.1;

/** The queue before a target, or before a pool at an entry. */
export class FairQueue<T> {
  private readonly customers = new Map<string, CustomerQueue<T>>();
  private virtualTime = 0;
  private queued = 0;
  private running = 0;
  private earliestDeadline = Infinity;
  private meanCost = 0;
  /** Cost served in a millisecond by one slot; unknown before any service. */
  private slotRate: number | undefined;

  constructor(private readonly limits: QueueLimits) {}

  /** Items that wait. */
  get size(): number {
    return this.queued;
  }

  /** Cost of all items that wait. */
  get queuedCost(): number {
    let total = 0;
    for (const queue of this.customers.values()) total += queue.queuedCost;
    return total;
  }

  offer(item: QueueItem<T>, nowMs: number): OfferResult {
    const queue = this.customerQueue(item);
    const waitMs = this.expectedWaitMs(item);
    const refusal = this.refusalFor(item, queue, waitMs, nowMs);
    if (refusal !== undefined) {
      this.forgetIdle(queue);
      return refused(refusal, waitMs);
    }
    this.meanCost += COST_SMOOTHING * (item.cost - this.meanCost);
    if (queue.items.length === 0) {
      const earliest = this.virtualTime - this.credit(queue.share);
      queue.startTag = Math.max(queue.startTag, earliest);
    }
    insertByPriority(queue.items, item);
    queue.queuedCost += item.cost;
    this.queued++;
    this.earliestDeadline = Math.min(this.earliestDeadline, item.deadlineAt);
    return {kind: 'queued'};
  }

  /**
   * The next item to serve, when `freeSlots` more may run; call `finished`
   * once its service has ended.
   *
   * The last free slots go to customers in credit only, as long as there are
   * any. Without this a flood holds every slot, and a small customer waits for
   * one to end each time, though it is the first in the queue.
   */
  take(nowMs: number, freeSlots: number): QueueItem<T> | undefined {
    if (freeSlots < 1) return undefined;
    const slots = this.running + freeSlots;
    const reserved = this.isReserved(freeSlots);
    const perShare = reserved ? slots / this.knownShares() : Infinity;
    let best: CustomerQueue<T> | undefined;
    for (const queue of this.customers.values()) {
      if (queue.running >= queue.concurrentLimit) continue;
      if (reserved && this.isFlooding(queue, perShare)) continue;
      if (!queue.items.some(item => item.deadlineAt > nowMs)) continue;
      if (best === undefined || queue.startTag < best.startTag) best = queue;
    }
    if (best === undefined) return undefined;
    return this.dequeue(best, nowMs);
  }

  /** Removes and returns the items whose deadline passed while they waited. */
  expire(nowMs: number): readonly QueueItem<T>[] {
    if (nowMs < this.earliestDeadline) return [];
    const expired: QueueItem<T>[] = [];
    this.earliestDeadline = Infinity;
    for (const queue of [...this.customers.values()]) {
      for (const item of [...queue.items]) {
        if (item.deadlineAt <= nowMs) {
          this.removeFrom(queue, item);
          expired.push(item);
          continue;
        }
        this.earliestDeadline = Math.min(
          this.earliestDeadline,
          item.deadlineAt
        );
      }
      this.forgetIdle(queue);
    }
    return expired;
  }

  /** When `expire` next has something to return; Infinity when nothing waits. */
  nextExpiryAt(): number {
    return this.queued === 0 ? Infinity : this.earliestDeadline;
  }

  /** All items that wait, in no particular order. */
  waiting(): readonly QueueItem<T>[] {
    return [...this.customers.values()].flatMap(queue => queue.items);
  }

  /** Takes out one waiting item, for instance when its caller has gone. */
  remove(id: string): QueueItem<T> | undefined {
    for (const queue of this.customers.values()) {
      const item = queue.items.find(candidate => candidate.id === id);
      if (item === undefined) continue;
      this.removeFrom(queue, item);
      this.forgetIdle(queue);
      return item;
    }
    return undefined;
  }

  /**
   * Whether the customer has used less than its share. Asked before `take`'s
   * item is sent on, it tells a target that honours priorities to go first
   * with what would otherwise wait behind the prompts of a flood.
   */
  isInCredit(customer: string): boolean {
    const queue = this.customers.get(customer);
    return queue === undefined || queue.startTag < this.virtualTime;
  }

  /** Ends the service of an item that `take` returned, whatever its outcome. */
  finished(customer: string): void {
    const queue = this.customers.get(customer);
    if (queue === undefined || queue.running === 0) return;
    queue.running--;
    this.running--;
    this.forgetIdle(queue);
  }

  /** Feeds the estimate of the service rate with one successful service. */
  served(cost: number, elapsedMs: number): void {
    const rate = cost / Math.max(1, elapsedMs);
    this.slotRate =
      this.slotRate === undefined
        ? rate
        : this.slotRate + RATE_SMOOTHING * (rate - this.slotRate);
  }

  /** Milliseconds until such an item would be taken; 0 when unknown. */
  expectedWaitMs(
    item: Pick<QueueItem<T>, 'customer' | 'share' | 'cost' | 'priority'>
  ): number {
    if (this.slotRate === undefined || this.queued === 0) return 0;
    const ownCost = this.ownCostAhead(item);
    let ahead = ownCost;
    for (const queue of this.customers.values()) {
      if (queue.customer === item.customer) continue;
      const fairCost = ((ownCost + item.cost) * queue.share) / item.share;
      ahead += Math.min(queue.queuedCost, fairCost);
    }
    return ahead / (this.slotRate * Math.max(1, this.running));
  }

  private isReserved(freeSlots: number): boolean {
    const slots = this.running + freeSlots;
    if (freeSlots > Math.floor(slots * RESERVED_PART)) return false;
    for (const queue of this.customers.values())
      if (queue.items.length === 0 || queue.startTag < this.virtualTime)
        return true;
    return false;
  }

  /**
   * A customer with a backlog, and out of credit. A few waiting items are no
   * flood: after the loss of a zone every customer has them for a while, and
   * the slots are needed then.
   */
  private isFlooding(queue: CustomerQueue<T>, perShare: number): boolean {
    const entitledSlots = perShare * queue.share;
    const backlog = Math.max(MIN_BACKLOG, entitledSlots * BACKLOG_PART);
    return queue.items.length > backlog && queue.startTag >= this.virtualTime;
  }

  private knownShares(): number {
    let shares = 0;
    for (const queue of this.customers.values()) shares += queue.share;
    return shares;
  }

  /** How far behind the virtual time a customer may start after a pause. */
  private credit(share: number): number {
    return (this.meanCost * CREDIT_ITEMS) / share;
  }

  private ownCostAhead(
    item: Pick<QueueItem<T>, 'customer' | 'priority'>
  ): number {
    const queue = this.customers.get(item.customer);
    if (queue === undefined) return 0;
    return queue.items
      .filter(queued => queued.priority >= item.priority)
      .reduce((sum, queued) => sum + queued.cost, 0);
  }

  private refusalFor(
    item: QueueItem<T>,
    queue: CustomerQueue<T>,
    waitMs: number,
    nowMs: number
  ): OfferRefusal | undefined {
    if (this.queued >= this.limits.maxQueued) return 'overloaded';
    // A flood may fill no more than the room that it leaves to others, so a
    // small customer is never refused because of a large one's backlog.
    const room = this.limits.maxQueued - this.queued;
    const bound = Math.min(this.limits.maxQueuedPerCustomer, room);
    if (queue.items.length >= bound) return 'customer-limit';
    const leftMs = item.deadlineAt - nowMs;
    if (leftMs <= 0 || waitMs > leftMs * WAIT_TOLERANCE)
      return 'deadline-too-short';
    return undefined;
  }

  private customerQueue(item: QueueItem<T>): CustomerQueue<T> {
    const limit = item.concurrentLimit ?? Infinity;
    const known = this.customers.get(item.customer);
    if (known !== undefined) {
      known.share = item.share;
      known.concurrentLimit = limit;
      return known;
    }
    const queue: CustomerQueue<T> = {
      customer: item.customer,
      share: item.share,
      concurrentLimit: limit,
      items: [],
      queuedCost: 0,
      running: 0,
      startTag: this.virtualTime - this.credit(item.share),
    };
    this.customers.set(item.customer, queue);
    return queue;
  }

  private dequeue(queue: CustomerQueue<T>, nowMs: number): QueueItem<T> {
    const item = queue.items.find(queued => queued.deadlineAt > nowMs);
    if (item === undefined) throw new Error('take from an expired queue');
    this.removeFrom(queue, item);
    this.virtualTime = Math.max(this.virtualTime, queue.startTag);
    queue.startTag += item.cost / queue.share;
    queue.running++;
    this.running++;
    return item;
  }

  private removeFrom(queue: CustomerQueue<T>, item: QueueItem<T>): void {
    queue.items.splice(queue.items.indexOf(item), 1);
    queue.queuedCost -= item.cost;
    this.queued--;
  }

  /** Remembers a customer until it has all its credit back. */
  private forgetIdle(queue: CustomerQueue<T>): void {
    if (this.queued === 0 && this.running === 0) {
      this.customers.clear();
      return;
    }
    if (queue.items.length > 0 || queue.running > 0) return;
    if (queue.startTag > this.virtualTime - this.credit(queue.share)) return;
    this.customers.delete(queue.customer);
  }
}

function refused(reason: OfferRefusal, waitMs: number): OfferResult {
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs))
  );
  return {kind: 'refused', reason, retryAfterMs};
}

function insertByPriority<T>(items: QueueItem<T>[], item: QueueItem<T>): void {
  const later = items.findIndex(queued => queued.priority < item.priority);
  if (later < 0) items.push(item);
  else items.splice(later, 0, item);
}
