/** Virtual time: actions run in the order of their due times. */

import type {SeededRandom} from './schedule';

interface Due {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** A seeded timeline; equal times run in the order they were asked for. */
export class Timeline {
  private due: Due[] = [];
  private order = 0;
  now = 0;

  constructor(private readonly random: SeededRandom) {}

  after(ms: number, run: () => void): void {
    this.due.push({at: this.now + ms, order: this.order++, run});
  }

  /** Within `low` to `high` milliseconds, by the seed. */
  within(low: number, high: number, run: () => void): void {
    this.after(this.random.int(low, high), run);
  }

  /** Runs everything; throws when it does not come to an end. */
  runAll(maxSteps: number): void {
    for (let step = 0; this.due.length > 0; step++) {
      if (step >= maxSteps) throw new Error(`no end after ${maxSteps} steps`);
      this.due.sort((a, b) => a.at - b.at || a.order - b.order);
      const next = this.due.shift();
      if (next === undefined) return;
      this.now = next.at;
      next.run();
    }
  }
}
