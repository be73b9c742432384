/** A seeded scheduler of messages and faults, for state machines without I/O. */

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Seeded random numbers; the same seed gives the same run anywhere. */
export class SeededRandom {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A whole number from `low` to `high`, both included. */
  int(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** A number from 0 to below 1. */
  next(): number {
    return this.int(0, 0x3fffffff) / 0x40000000;
  }

  chance(probability: number): boolean {
    return this.next() < probability;
  }

  pick<T>(items: readonly T[]): T {
    const item = items[this.int(0, items.length - 1)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  }
}

/** How often the network misbehaves, each from 0 to 1. */
export interface NetworkFaults {
  readonly drop: number;
  readonly duplicate: number;
  /** Most virtual milliseconds that a message may be late. */
  readonly maxDelayMs: number;
}

interface Scheduled<M> {
  readonly at: number;
  readonly order: number;
  readonly from: string;
  readonly to: string;
  readonly message: M;
}

/** Messages in flight over virtual time; delays reorder them. */
export class Network<M> {
  private queue: Scheduled<M>[] = [];
  private order = 0;
  /** Directed links that lose everything: `from>to`. */
  private readonly cuts = new Set<string>();
  now = 0;

  constructor(
    private readonly random: SeededRandom,
    private readonly faults: NetworkFaults
  ) {}

  send(from: string, to: string, message: M): void {
    if (this.cuts.has(`${from}>${to}`) || this.random.chance(this.faults.drop))
      return;
    this.schedule(from, to, message);
    if (this.random.chance(this.faults.duplicate))
      this.schedule(from, to, message);
  }

  /** Cuts one direction only; call twice for both. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  heal(): void {
    this.cuts.clear();
  }

  /** Advances the time and returns what arrives until then, in order. */
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
