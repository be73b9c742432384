/**
 * Seeded schedules against the fair queue: bounded, work-conserving but for
 * the reserved slots, no starvation, each item ends once, deadlines at once.
 */

import {FairQueue, type QueueItem} from '../../src/policy/fairQueue';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';

const STEPS = 400;
const MAX_QUEUED = 24;
const MAX_PER_CUSTOMER = 10;
const MAX_COST = 20;
const MAX_SHARE = 4;
/** Most of the slots that may stay free while somebody waits. */
const RESERVED_PART = 0.25;
/** Items of the largest cost that credit and rounding may put ahead. */
const STARVATION_ITEMS = 12;

type Item = QueueItem<undefined>;

interface Customer {
  readonly customer: string;
  readonly share: number;
  readonly concurrentLimit: number | undefined;
  running: number;
  /** Cost that others got while this one could have been served. */
  passedOver: number;
}

function check(held: boolean, promise: string): void {
  if (!held) throw new Error(promise);
}

class QueueRun {
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
      passedOver: 0,
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
    const dead = item.deadlineAt <= this.now;
    check(!dead || result.kind === 'refused', `${item.id} queued when dead`);
    if (result.kind === 'queued') this.waiting.set(item.id, item);
    else check(result.retryAfterMs > 0, 'a refusal without a retry time');
    check(this.queue.size === this.waiting.size, 'size differs');
    check(this.queue.size <= MAX_QUEUED, 'more queued than the bound');
    check(
      this.waitingOf(customer).length <= MAX_PER_CUSTOMER,
      `${customer} has more queued than its bound`
    );
  }

  private expire(): void {
    const due = [...this.waiting.values()].filter(
      item => item.deadlineAt <= this.now
    );
    check(
      due.length === 0 || this.queue.nextExpiryAt() <= this.now,
      'the next expiry is told too late'
    );
    const expired = this.queue.expire(this.now);
    check(expired.length === due.length, 'an expired item got no answer');
    for (const item of expired) this.leave(item, 'expired');
  }

  private takeAll(): void {
    for (;;) {
      const free = this.slots - this.running.length;
      const item = this.queue.take(this.now, free);
      if (item === undefined) {
        this.checkConserving(free);
        return;
      }
      check(free > 0, 'taken with no free slot');
      this.begin(item);
    }
  }

  private begin(item: Item): void {
    this.leave(item, 'taken');
    check(item.deadlineAt > this.now, `${item.id} taken past its deadline`);
    const owner = this.owner(item);
    owner.running++;
    check(
      owner.running <= (owner.concurrentLimit ?? Infinity),
      `${owner.customer} runs more than its limit`
    );
    this.running.push(item);
    this.countPassedOver(item);
  }

  private countPassedOver(served: Item): void {
    for (const customer of this.customers) {
      if (customer.customer === served.customer || !this.isEligible(customer)) {
        customer.passedOver = 0;
        continue;
      }
      customer.passedOver += served.cost;
      const others = this.customers.length - 1;
      const most =
        others * MAX_COST * (MAX_SHARE / customer.share + STARVATION_ITEMS);
      check(customer.passedOver <= most, `${customer.customer} starves`);
    }
  }

  private checkConserving(free: number): void {
    if (free <= Math.floor(this.slots * RESERVED_PART)) return;
    const eligible = this.customers.filter(c => this.isEligible(c));
    check(
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
    this.owner(item).running--;
    this.queue.finished(item.customer);
    this.queue.served(item.cost, this.random.int(1, 50));
  }

  private remove(): void {
    const item = [...this.waiting.values()][0];
    if (item === undefined) return;
    check(this.queue.remove(item.id) === item, 'removed another item');
    this.leave(item, 'removed');
  }

  /** With no new offers, all that waits is served in the end. */
  private drain(): void {
    while (this.running.length > 0) {
      this.finish();
      this.takeAll();
    }
    this.takeAll();
    check(this.waiting.size === 0, 'an item waits for ever');
  }

  private leave(item: Item, how: string): void {
    check(this.waiting.delete(item.id), `${item.id} ${how} a second time`);
  }

  private owner(item: Item): Customer {
    return this.customers.find(c => c.customer === item.customer)!;
  }

  private waitingOf(customer: string): readonly Item[] {
    return [...this.waiting.values()].filter(
      item => item.customer === customer
    );
  }
}

/** The model. */
export const QUEUE_MODEL: FuzzModel = {
  name: 'queue',
  run: seed => new QueueRun(seed).run(),
};
