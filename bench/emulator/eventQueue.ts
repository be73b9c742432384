/** Queue of discrete events in virtual time, as a binary heap. */

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** Runs actions at their virtual times; those due at once run first in, first out. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];
  private order = 0;
  /** Virtual milliseconds since the start. */
  now = 0;

  after(delayMs: number, action: () => void): void {
    const atMs = this.now + Math.max(0, delayMs);
    this.push({atMs, order: this.order++, action});
  }

  /** Runs all actions that are due by `endMs` and sets the clock to it. */
  runUntil(endMs: number): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.atMs > endMs) break;
      this.pop();
      this.now = first.atMs;
      first.action();
    }
    this.now = endMs;
  }

  private push(event: ScheduledEvent): void {
    const heap = this.heap;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!before(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): void {
    const heap = this.heap;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && before(heap[child + 1]!, heap[child]!))
        child++;
      if (!before(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}

function before(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
