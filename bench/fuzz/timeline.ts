/** Virtual time for models: actions run in the order of their due times. */

import type {SeededRandom} from './schedule';

interface ScheduledAction {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Timeline of scheduled actions; those due at the same time run first in, first out. */
export class Timeline {
  private queue: ScheduledAction[] = [];
  private order = 0;
  now = 0;

  constructor(private readonly random: SeededRandom) {}

  after(ms: number, run: () => void): void {
    this.queue.push({at: this.now + ms, order: this.order++, run});
  }

  /** Runs an action after a random delay of `low` to `high` milliseconds. */
  within(low: number, high: number, run: () => void): void {
    this.after(this.random.int(low, high), run);
  }

  /** Runs all actions; throws when more than `maxSteps` have run. */
  runAll(maxSteps: number): void {
    for (let step = 0; this.queue.length > 0; step++) {
      if (step >= maxSteps)
        throw new Error(`schedule has not ended after ${maxSteps} actions`);
      this.queue.sort((a, b) => a.at - b.at || a.order - b.order);
      const next = this.queue.shift();
      if (next === undefined) return;
      this.now = next.at;
      next.run();
    }
  }
}
