/** Seeded random numbers and a simulated network for state machines without I/O. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Random numbers that are the same for a seed on every machine. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `low` to `high`, both inclusive. */
  int(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** Returns a number from 0 inclusive to 1 exclusive. */
  next(): number {
    return this.int(0, 0x3fffffff) / 0x40000000;
  }

  chance(probability: number): boolean {
    return this.next() < probability;
  }

  pick<T>(items: readonly T[]): T {
    const item = items[this.int(0, items.length - 1)];
    if (item === undefined) throw new Error('cannot pick from an empty list');
    return item;
  }
}

/** Faults of the network; `drop` and `duplicate` are probabilities from 0 to 1. */
export interface NetworkFaults {
  readonly drop: number;
  readonly duplicate: number;
  /** Longest delay of a message in virtual milliseconds. */
  readonly maxDelayMs: number;
}

interface ScheduledMessage<M> {
  readonly at: number;
  readonly order: number;
  readonly from: string;
  readonly to: string;
  readonly message: M;
}

/** Messages in flight over virtual time; random delays reorder them. */
export class Network<M> {
  private queue: ScheduledMessage<M>[] = [];
  private order = 0;
  /** Directed links that lose all messages, as `from>to`. */
  private readonly cutLinks = new Set<string>();
  now = 0;

  constructor(
    private readonly random: SeededRandom,
    private readonly faults: NetworkFaults
  ) {}

  send(from: string, to: string, message: M): void {
    if (
      this.cutLinks.has(`${from}>${to}`) ||
      this.random.chance(this.faults.drop)
    )
      return;
    this.schedule(from, to, message);
    if (this.random.chance(this.faults.duplicate))
      this.schedule(from, to, message);
  }

  /** Cuts the link in one direction; call twice to cut both. */
  cut(from: string, to: string): void {
    this.cutLinks.add(`${from}>${to}`);
  }

  /** Restores the link in one direction. */
  restore(from: string, to: string): void {
    this.cutLinks.delete(`${from}>${to}`);
  }

  isCut(from: string, to: string): boolean {
    return this.cutLinks.has(`${from}>${to}`);
  }

  heal(): void {
    this.cutLinks.clear();
  }

  /** Advances the time and returns the messages due, in order of arrival. */
  advance(ms: number): readonly {
    readonly from: string;
    readonly to: string;
    readonly message: M;
  }[] {
    this.now += ms;
    const due = this.queue.filter(item => item.at <= this.now);
    this.queue = this.queue.filter(item => item.at > this.now);
    return due.sort((a, b) => a.at - b.at || a.order - b.order);
  }

  private schedule(from: string, to: string, message: M): void {
    const at =
      this.now + this.random.int(1, Math.max(1, this.faults.maxDelayMs));
    this.queue.push({at, order: this.order++, from, to, message});
  }
}
