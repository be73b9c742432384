import {FairQueue, type QueueItem} from '../src/policy/admission/fairQueue';

const LIMITS = {maxQueued: 100, maxQueuedPerCustomer: 40};

let count = 0;

function item(
  customer: string,
  fields: Partial<QueueItem<string>> = {}
): QueueItem<string> {
  return {
    id: `item-${count++}`,
    customer,
    share: 1,
    cost: 10,
    deadlineAt: 1e9,
    priority: 0,
    payload: customer,
    ...fields,
  };
}

function fill(
  queue: FairQueue<string>,
  items: number,
  customer: string,
  fields: Partial<QueueItem<string>> = {}
): void {
  for (let i = 0; i < items; i++) queue.offer(item(customer, fields), 0);
}

function takeAndFinish(queue: FairQueue<string>, times: number): string[] {
  const order: string[] = [];
  for (let i = 0; i < times; i++) {
    const taken = queue.take(0, 100);
    if (taken === undefined) break;
    order.push(taken.customer);
    queue.finished(taken.customer);
  }
  return order;
}

describe('fair queue', () => {
  it('should divide the served cost by the shares of waiting customers', () => {
    const queue = new FairQueue<string>({
      maxQueued: 1000,
      maxQueuedPerCustomer: 400,
    });
    fill(queue, 300, 'large', {share: 3});
    fill(queue, 150, 'small', {share: 1, cost: 20});
    const order = takeAndFinish(queue, 280);
    const large = order.filter(customer => customer === 'large').length;
    const small = order.length - large;
    expect((large * 10) / (small * 20)).toBeCloseTo(3, 0);
  });

  it('should compare priorities only among items of the same customer', () => {
    const queue = new FairQueue<string>(LIMITS);
    queue.offer(item('a', {payload: 'low'}), 0);
    queue.offer(item('a', {payload: 'high', priority: 9}), 0);
    queue.offer(item('b', {payload: 'other'}), 0);
    const payloads = [1, 2, 3].map(() => queue.take(0, 10)?.payload);
    expect(payloads.indexOf('high')).toBeLessThan(payloads.indexOf('low'));
    expect(payloads.indexOf('other')).toBeLessThan(2);
  });

  it('should keep room for others while one customer floods', () => {
    // A large customer sends a hundred requests at once. If it could fill the
    // whole queue, a small customer far below its share would be refused as
    // overloaded.
    const queue = new FairQueue<string>({
      maxQueued: 20,
      maxQueuedPerCustomer: 100,
    });
    const refusals = Array.from({length: 100}, () =>
      queue.offer(item('flood'), 0)
    ).filter(result => result.kind === 'refused');
    expect(refusals.length).toBeGreaterThan(0);
    expect(refusals[0]).toMatchObject({reason: 'customer-limit'});
    expect(queue.offer(item('small'), 0)).toEqual({kind: 'queued'});
  });

  it('should refuse beyond the limits per customer and in total', () => {
    const queue = new FairQueue<string>({
      maxQueued: 8,
      maxQueuedPerCustomer: 2,
    });
    for (const customer of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'])
      queue.offer(item(customer), 0);
    expect(queue.size).toBe(8);
    expect(queue.offer(item('i'), 0)).toMatchObject({reason: 'overloaded'});
    const other = new FairQueue<string>({
      maxQueued: 80,
      maxQueuedPerCustomer: 2,
    });
    fill(other, 2, 'a');
    expect(other.offer(item('a'), 0)).toMatchObject({reason: 'customer-limit'});
  });

  it('should refuse an item at once that would wait past its deadline', () => {
    const queue = new FairQueue<string>(LIMITS);
    fill(queue, 1, 'a');
    queue.take(0, 1);
    queue.served(10, 1000);
    fill(queue, 10, 'a');
    expect(queue.expectedWaitMs(item('a'))).toBeCloseTo(10_000);
    const refused = queue.offer(item('a', {deadlineAt: 2000}), 0);
    expect(refused).toMatchObject({reason: 'deadline-too-short'});
    expect(refused).toHaveProperty('retryAfterMs', 10_000);
    const other = queue.offer(item('b', {deadlineAt: 3000}), 0);
    expect(other).toEqual({kind: 'queued'});
  });

  it('should return expired items once and never serve them', () => {
    // The deadline of a request passes while it waits. Serving it would spend a
    // slot on a response that nobody waits for; if it were never returned, its
    // caller would get no response at all.
    const queue = new FairQueue<string>(LIMITS);
    queue.offer(item('a', {payload: 'dead', deadlineAt: 100}), 0);
    queue.offer(item('a', {payload: 'alive', deadlineAt: 900}), 0);
    expect(queue.nextExpiryAt()).toBe(100);
    expect(queue.take(100, 5)?.payload).toBe('alive');
    expect(queue.expire(100).map(({payload}) => payload)).toEqual(['dead']);
    expect(queue.expire(100)).toEqual([]);
    expect(queue.size).toBe(0);
  });

  it('should serve a small customer while a flood holds all other slots', () => {
    const queue = new FairQueue<string>(LIMITS);
    queue.offer(item('small'), 0);
    queue.take(0, 8);
    fill(queue, 40, 'flood', {share: 4});
    let free = 7;
    while (queue.take(0, free) !== undefined) free--;
    expect(free).toBe(2);
    queue.offer(item('small'), 0);
    expect(queue.take(0, free)?.customer).toBe('small');
  });

  it('should use every slot when only one customer has work', () => {
    const queue = new FairQueue<string>(LIMITS);
    fill(queue, 40, 'flood');
    let free = 8;
    while (queue.take(0, free) !== undefined) free--;
    expect(free).toBe(0);
  });

  it('should use every slot while nobody has more than a few waiting', () => {
    // After the loss of a zone, targets of the other zones get 1.5 times the load,
    // and every customer has an item or two waiting for a while. Reserved slots
    // would then turn a short queue into a long one.
    const queue = new FairQueue<string>(LIMITS);
    for (const customer of ['a', 'b', 'c', 'd'])
      fill(queue, 3, customer, {share: 2});
    let free = 12;
    while (queue.take(0, free) !== undefined) free--;
    expect(free).toBe(0);
  });

  it('should keep a customer within its concurrency limit', () => {
    const queue = new FairQueue<string>(LIMITS);
    fill(queue, 5, 'a', {concurrentLimit: 2});
    queue.take(0, 9);
    queue.take(0, 8);
    expect(queue.take(0, 7)).toBeUndefined();
    queue.finished('a');
    expect(queue.take(0, 8)?.customer).toBe('a');
  });

  it('should not accumulate more than the bounded credit in a long pause', () => {
    const queue = new FairQueue<string>({
      maxQueued: 2000,
      maxQueuedPerCustomer: 900,
    });
    fill(queue, 1, 'idle');
    takeAndFinish(queue, 1);
    fill(queue, 500, 'busy');
    takeAndFinish(queue, 400);
    fill(queue, 60, 'idle');
    const order = takeAndFinish(queue, 40);
    const first = order.indexOf('busy');
    expect(first).toBeGreaterThanOrEqual(1);
    expect(first).toBeLessThanOrEqual(12);
  });

  it('should remove a waiting item whose caller has disconnected', () => {
    const queue = new FairQueue<string>(LIMITS);
    const removed = item('a');
    queue.offer(removed, 0);
    expect(queue.remove(removed.id)).toBe(removed);
    expect(queue.remove(removed.id)).toBeUndefined();
    expect(queue.take(0, 1)).toBeUndefined();
  });
});
