/**
 * Start-time fair queue among customers.
 *
 * The cost that is served for each customer is proportional to its share. Within
 * one customer the higher priority goes first, then the older item. Priorities are
 * not compared across customers: no customer gains by marking all work as urgent.
 */

/** One waiting request. */
export interface QueueItem<T> {
  readonly id: string;
  readonly customer: string;
  /** Weight of the customer, above 0. */
  readonly share: number;
  /** Estimated work, above 0; see `requestCost`. */
  readonly cost: number;
  /** Deadline, on the same clock as every `nowMs` of the queue. */
  readonly deadlineAt: number;
  /** Higher goes first among the items of the same customer. */
  readonly priority: number;
  readonly payload: T;
  /** Maximum items of the customer in service at once; no limit if absent. */
  readonly concurrentLimit?: number;
}

/** Bounds of the queue. */
export interface QueueLimits {
  readonly maxQueued: number;
  readonly maxQueuedPerCustomer: number;
}

/** Why an item was refused; a subset of the reasons in src/core/refusal.ts. */
export type OfferRefusal =
  'overloaded' | 'customer-limit' | 'deadline-too-short';

/** Result of an offer. */
export type OfferResult =
  | {readonly kind: 'queued'}
  | {
      readonly kind: 'refused';
      readonly reason: OfferRefusal;
      /** Milliseconds after which the queue is expected to have room. */
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

/**
 * A customer floods the queue when it has more items waiting than this number and
 * than this ratio of the slots that its share entitles it to.
 */
const FLOOD_MIN_ITEMS = 2;
const FLOOD_SLOT_RATIO = 0.5;
/** Ratio of the slots that are reserved for customers in credit. */
const RESERVED_SLOT_RATIO = 0.25;
/**
 * Maximum credit: items of mean cost that a customer may run at once after it has
 * used less than its share. At one of many targets a small share amounts to one
 * item every few seconds; without credit, the second of two items that arrive
 * together would wait that long.
 */
const CREDIT_ITEMS = 8;
/** Weight of the newest item in the mean cost. */
const COST_EWMA_ALPHA = 0.05;
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 30_000;
/** Weight of the newest sample in the estimate of the service rate. */
const RATE_EWMA_ALPHA = 0.1;
/** Ratio of expected wait to remaining time above which an item is refused. */
const MAX_WAIT_RATIO = 1.1;

/** The queue of a target, or of a pool at an entry. */
export class FairQueue<T> {
  private readonly customers = new Map<string, CustomerQueue<T>>();
  private virtualTime = 0;
  private queued = 0;
  private running = 0;
  private earliestDeadline = Infinity;
  private meanCost = 0;
  /** Cost that one slot serves per millisecond; unknown before any service. */
  private costPerSlotMs: number | undefined;

  constructor(private readonly limits: QueueLimits) {}

  /** Number of waiting items. */
  get size(): number {
    return this.queued;
  }

  /** Total cost of the waiting items. */
  get queuedCost(): number {
    let total = 0;
    for (const queue of this.customers.values()) total += queue.queuedCost;
    return total;
  }

  /** Queues the item, or refuses it if the queue or its wait is too long. */
  offer(item: QueueItem<T>, nowMs: number): OfferResult {
    const queue = this.customerQueue(item);
    const waitMs = this.expectedWaitMs(item);
    const refusal = this.refusalFor(item, queue, waitMs, nowMs);
    if (refusal !== undefined) {
      this.deleteIfIdle(queue);
      return refused(refusal, waitMs);
    }
    this.meanCost += COST_EWMA_ALPHA * (item.cost - this.meanCost);
    if (queue.items.length === 0) {
      const earliest = this.virtualTime - this.maxCredit(queue.share);
      queue.startTag = Math.max(queue.startTag, earliest);
    }
    insertByPriority(queue.items, item);
    queue.queuedCost += item.cost;
    this.queued++;
    this.earliestDeadline = Math.min(this.earliestDeadline, item.deadlineAt);
    return {kind: 'queued'};
  }

  /**
   * Removes and returns the next item to serve if one of `freeSlots` can run it;
   * call `finished` once its service has ended.
   *
   * While some customer is in credit, the last free slots are withheld from
   * flooding customers. Otherwise a flood holds every slot, and a small customer
   * must wait for one of its requests to end each time, even at the head of the
   * queue.
   */
  take(nowMs: number, freeSlots: number): QueueItem<T> | undefined {
    if (freeSlots < 1) return undefined;
    const slots = this.running + freeSlots;
    const areSlotsReserved = this.reservesFreeSlots(freeSlots);
    const slotsPerShare = areSlotsReserved
      ? slots / this.totalShare()
      : Infinity;
    let best: CustomerQueue<T> | undefined;
    for (const queue of this.customers.values()) {
      if (queue.running >= queue.concurrentLimit) continue;
      if (areSlotsReserved && this.isFlooding(queue, slotsPerShare)) continue;
      if (!queue.items.some(item => item.deadlineAt > nowMs)) continue;
      if (best === undefined || queue.startTag < best.startTag) best = queue;
    }
    if (best === undefined) return undefined;
    return this.dequeue(best, nowMs);
  }

  /** Removes and returns the items whose deadline has passed. */
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
      this.deleteIfIdle(queue);
    }
    return expired;
  }

  /** When `expire` should next be called; Infinity when nothing waits. */
  nextExpiryAt(): number {
    return this.queued === 0 ? Infinity : this.earliestDeadline;
  }

  /** All waiting items, in no particular order. */
  waiting(): readonly QueueItem<T>[] {
    return [...this.customers.values()].flatMap(queue => queue.items);
  }

  /** Removes one waiting item, for instance when its caller has disconnected. */
  remove(id: string): QueueItem<T> | undefined {
    for (const queue of this.customers.values()) {
      const item = queue.items.find(candidate => candidate.id === id);
      if (item === undefined) continue;
      this.removeFrom(queue, item);
      this.deleteIfIdle(queue);
      return item;
    }
    return undefined;
  }

  /**
   * Whether the customer has used less than its share. Queried after `take` and
   * before the item is sent to the target: a target that supports priorities can
   * then prefill it before the prompts of a flood.
   */
  isInCredit(customer: string): boolean {
    const queue = this.customers.get(customer);
    return queue === undefined || queue.startTag < this.virtualTime;
  }

  /** Records the end of service of an item from `take`, whatever its outcome. */
  finished(customer: string): void {
    const queue = this.customers.get(customer);
    if (queue === undefined || queue.running === 0) return;
    queue.running--;
    this.running--;
    this.deleteIfIdle(queue);
  }

  /** Updates the estimated service rate with one successful service. */
  served(cost: number, elapsedMs: number): void {
    const rate = cost / Math.max(1, elapsedMs);
    this.costPerSlotMs =
      this.costPerSlotMs === undefined
        ? rate
        : this.costPerSlotMs + RATE_EWMA_ALPHA * (rate - this.costPerSlotMs);
  }

  /** Expected wait of such an item, milliseconds; 0 when unknown. */
  expectedWaitMs(
    item: Pick<QueueItem<T>, 'customer' | 'share' | 'cost' | 'priority'>
  ): number {
    if (this.costPerSlotMs === undefined || this.queued === 0) return 0;
    const ownCost = this.ownCostAhead(item);
    let ahead = ownCost;
    for (const queue of this.customers.values()) {
      if (queue.customer === item.customer) continue;
      const fairCost = ((ownCost + item.cost) * queue.share) / item.share;
      ahead += Math.min(queue.queuedCost, fairCost);
    }
    return ahead / (this.costPerSlotMs * Math.max(1, this.running));
  }

  /** Whether the free slots are few and some customer in credit may claim them. */
  private reservesFreeSlots(freeSlots: number): boolean {
    const slots = this.running + freeSlots;
    if (freeSlots > Math.floor(slots * RESERVED_SLOT_RATIO)) return false;
    for (const queue of this.customers.values())
      if (queue.items.length === 0 || queue.startTag < this.virtualTime)
        return true;
    return false;
  }

  /**
   * Whether a customer out of credit has a backlog. A few waiting items are not a
   * flood: after the loss of a zone every customer has some for a while, and every
   * slot is needed then.
   */
  private isFlooding(queue: CustomerQueue<T>, slotsPerShare: number): boolean {
    const entitledSlots = slotsPerShare * queue.share;
    const backlog = Math.max(FLOOD_MIN_ITEMS, entitledSlots * FLOOD_SLOT_RATIO);
    return queue.items.length > backlog && queue.startTag >= this.virtualTime;
  }

  private totalShare(): number {
    let shares = 0;
    for (const queue of this.customers.values()) shares += queue.share;
    return shares;
  }

  /** How far the start tag of a customer may lag behind the virtual time. */
  private maxCredit(share: number): number {
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
    // One customer may queue at most as many items as it leaves room for, so the
    // backlog of a large customer never causes the refusal of a small one.
    const room = this.limits.maxQueued - this.queued;
    const bound = Math.min(this.limits.maxQueuedPerCustomer, room);
    if (queue.items.length >= bound) return 'customer-limit';
    const leftMs = item.deadlineAt - nowMs;
    if (leftMs <= 0 || waitMs > leftMs * MAX_WAIT_RATIO)
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
      startTag: this.virtualTime - this.maxCredit(item.share),
    };
    this.customers.set(item.customer, queue);
    return queue;
  }

  private dequeue(queue: CustomerQueue<T>, nowMs: number): QueueItem<T> {
    const item = queue.items.find(queued => queued.deadlineAt > nowMs);
    if (item === undefined)
      throw new Error(
        `no unexpired item of customer ${queue.customer} is waiting`
      );
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

  /** Deletes the state of an idle customer once it has regained full credit. */
  private deleteIfIdle(queue: CustomerQueue<T>): void {
    if (this.queued === 0 && this.running === 0) {
      this.customers.clear();
      return;
    }
    if (queue.items.length > 0 || queue.running > 0) return;
    if (queue.startTag > this.virtualTime - this.maxCredit(queue.share)) return;
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
