/**
 * Checks the fair queue under seeded schedules: its bounds hold, no slots but
 * the reserved ones stay free while items wait, no customer starves, each item
 * leaves the queue once, and expired items leave it immediately.
 */

import {FairQueue, type QueueItem} from '../../src/policy/admission/fairQueue';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';

const STEPS = 400;
const MAX_QUEUED = 24;
const MAX_PER_CUSTOMER = 10;
const MAX_COST = 20;
const MAX_SHARE = 4;
/** Largest share of the slots that may stay free while items wait. */
const RESERVED_SHARE = 0.25;
/** Items of the largest cost that credit and rounding may let pass first. */
const MAX_ITEMS_AHEAD = 12;

type Item = QueueItem<undefined>;

interface Customer {
  readonly customer: string;
  readonly share: number;
  readonly concurrentLimit: number | undefined;
  running: number;
  /** Cost served for other customers while this one could have been served. */
  passedOverCost: number;
}

function assertInvariant(condition: boolean, violation: string): void {
  if (!condition) throw new Error(violation);
}

class QueueSimulation {
  private readonly queue = new FairQueue<undefined>({
    maxQueued: MAX_QUEUED,
    maxQueuedPerCustomer: MAX_PER_CUSTOMER,
  });
  private readonly random: SeededRandom;
  private readonly customers: readonly Customer[];
  private readonly waiting = new Map<string, Item>();
  private readonly running: Item[] = [];
  private readonly slots: number;
  private now = 0;
  private count = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.slots = this.random.int(1, 12);
    this.customers = Array.from({length: this.random.int(1, 5)}, (_, i) => ({
      customer: `c${i}`,
      share: this.random.int(1, MAX_SHARE),
      concurrentLimit: this.random.chance(0.3)
        ? this.random.int(1, 3)
        : undefined,
      running: 0,
      passedOverCost: 0,
    }));
  }

  run(): void {
    for (let step = 0; step < STEPS; step++) this.step();
    this.drain();
  }

  private step(): void {
    this.now += this.random.int(0, 20);
    this.expire();
    switch (this.random.int(0, 5)) {
      case 0:
      case 1:
      case 2:
        this.offer();
        break;
      case 3:
        this.finish();
        break;
      case 4:
        if (this.random.chance(0.2)) this.remove();
        break;
      default:
        break;
    }
    this.takeAll();
  }

  private offer(): void {
    const {customer, share, concurrentLimit} = this.random.pick(this.customers);
    const item: Item = {
      id: `i${this.count++}`,
      customer,
      share,
      concurrentLimit,
      cost: this.random.int(1, MAX_COST),
      deadlineAt: this.now + this.random.int(-5, 2000),
      priority: this.random.int(0, 2),
      payload: undefined,
    };
    const result = this.queue.offer(item, this.now);
    const isExpired = item.deadlineAt <= this.now;
    assertInvariant(
      !isExpired || result.kind === 'refused',
      `${item.id} was queued after its deadline`
    );
    if (result.kind === 'queued') this.waiting.set(item.id, item);
    else
      assertInvariant(result.retryAfterMs > 0, 'a refusal has no retry time');
    assertInvariant(
      this.queue.size === this.waiting.size,
      'the size of the queue is wrong'
    );
    assertInvariant(
      this.queue.size <= MAX_QUEUED,
      'more items are queued than the limit allows'
    );
    assertInvariant(
      this.waitingOf(customer).length <= MAX_PER_CUSTOMER,
      `${customer} has more items queued than its limit allows`
    );
  }

  private expire(): void {
    const due = [...this.waiting.values()].filter(
      item => item.deadlineAt <= this.now
    );
    assertInvariant(
      due.length === 0 || this.queue.nextExpiryAt() <= this.now,
      'the next expiry is reported too late'
    );
    const expired = this.queue.expire(this.now);
    assertInvariant(
      expired.length === due.length,
      'an expired item was not returned'
    );
    for (const item of expired) this.removeWaiting(item, 'expired');
  }

  private takeAll(): void {
    for (;;) {
      const free = this.slots - this.running.length;
      const item = this.queue.take(this.now, free);
      if (item === undefined) {
        this.checkWorkConserving(free);
        return;
      }
      assertInvariant(free > 0, 'an item was taken without a free slot');
      this.startItem(item);
    }
  }

  private startItem(item: Item): void {
    this.removeWaiting(item, 'taken');
    assertInvariant(
      item.deadlineAt > this.now,
      `${item.id} was taken after its deadline`
    );
    const owningCustomer = this.customerOf(item);
    owningCustomer.running++;
    assertInvariant(
      owningCustomer.running <= (owningCustomer.concurrentLimit ?? Infinity),
      `${owningCustomer.customer} runs more items than its limit allows`
    );
    this.running.push(item);
    this.countPassedOver(item);
  }

  private countPassedOver(served: Item): void {
    for (const customer of this.customers) {
      if (customer.customer === served.customer || !this.isEligible(customer)) {
        customer.passedOverCost = 0;
        continue;
      }
      customer.passedOverCost += served.cost;
      const others = this.customers.length - 1;
      const maxPassedOverCost =
        others * MAX_COST * (MAX_SHARE / customer.share + MAX_ITEMS_AHEAD);
      assertInvariant(
        customer.passedOverCost <= maxPassedOverCost,
        `${customer.customer} starves`
      );
    }
  }

  private checkWorkConserving(free: number): void {
    if (free <= Math.floor(this.slots * RESERVED_SHARE)) return;
    const eligible = this.customers.filter(c => this.isEligible(c));
    assertInvariant(
      eligible.length === 0,
      `${eligible[0]?.customer} waits while ${free} slots are free`
    );
  }

  private isEligible(customer: Customer): boolean {
    if (customer.running >= (customer.concurrentLimit ?? Infinity))
      return false;
    return this.waitingOf(customer.customer).length > 0;
  }

  private finish(): void {
    const item = this.running.shift();
    if (item === undefined) return;
    this.customerOf(item).running--;
    this.queue.finished(item.customer);
    this.queue.served(item.cost, this.random.int(1, 50));
  }

  private remove(): void {
    const item = [...this.waiting.values()][0];
    if (item === undefined) return;
    assertInvariant(
      this.queue.remove(item.id) === item,
      'another item was removed'
    );
    this.removeWaiting(item, 'removed');
  }

  /** Without new offers all waiting items must be served. */
  private drain(): void {
    while (this.running.length > 0) {
      this.finish();
      this.takeAll();
    }
    this.takeAll();
    assertInvariant(this.waiting.size === 0, 'an item is never served');
  }

  private removeWaiting(item: Item, how: string): void {
    assertInvariant(
      this.waiting.delete(item.id),
      `${item.id} was ${how} a second time`
    );
  }

  private customerOf(item: Item): Customer {
    return this.customers.find(c => c.customer === item.customer)!;
  }

  private waitingOf(customer: string): readonly Item[] {
    return [...this.waiting.values()].filter(
      item => item.customer === customer
    );
  }
}

/** Checks the fair queue. */
export const QUEUE_MODEL: FuzzModel = {
  name: 'queue',
  run: seed => new QueueSimulation(seed).run(),
};
