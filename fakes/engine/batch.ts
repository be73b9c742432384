/** Continuous batching: prefill first, then one token a step. */

import type {EngineConfig} from './engineConfig';

/** One request inside the engine. */
export interface Work {
  readonly requestId: string;
  /** Higher goes first. */
  readonly priority: number;
  /** Prompt tokens still to prefill. */
  prefillLeft: number;
  /** Index of the token to make next. */
  next: number;
  /** Index after the last token. */
  readonly end: number;
  onToken(index: number): void;
  onEnd(): void;
  onCancel(): void;
}

/** Requests in work and waiting. */
export class Batch {
  private running: Work[] = [];
  private waiting: Work[] = [];

  constructor(
    private readonly cfg: Pick<EngineConfig, 'batchSize' | 'prefillPerStep'>
  ) {}

  get runningCount(): number {
    return this.running.length;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  get size(): number {
    return this.running.length + this.waiting.length;
  }

  /** Prompt and output tokens that are still to be worked through. */
  tokensInWork(): number {
    return [...this.running, ...this.waiting].reduce(
      (sum, work) => sum + work.prefillLeft + work.end - work.next,
      0
    );
  }

  add(work: Work): void {
    const behind = this.waiting.findIndex(w => w.priority < work.priority);
    if (behind < 0) this.waiting.push(work);
    else this.waiting.splice(behind, 0, work);
  }

  has(work: Work): boolean {
    return this.running.includes(work) || this.waiting.includes(work);
  }

  /** Takes out one piece of work; false when it has ended. */
  remove(work: Work): boolean {
    if (!this.has(work)) return false;
    this.running = this.running.filter(w => w !== work);
    this.waiting = this.waiting.filter(w => w !== work);
    return true;
  }

  byRequest(requestId: string): readonly Work[] {
    return [...this.running, ...this.waiting].filter(
      w => w.requestId === requestId
    );
  }

  clear(): void {
    this.running = [];
    this.waiting = [];
  }

  step(): void {
    const free = this.cfg.batchSize - this.running.length;
    this.running.push(...this.waiting.splice(0, Math.max(0, free)));
    let budget = this.cfg.prefillPerStep;
    for (const work of [...this.running]) {
      const prefill = Math.min(budget, work.prefillLeft);
      budget -= prefill;
      work.prefillLeft -= prefill;
      if (prefill > 0 || work.prefillLeft > 0) continue;
      this.decode(work);
    }
  }

  private decode(work: Work): void {
    if (work.next < work.end) work.onToken(work.next++);
    if (work.next < work.end || !this.remove(work)) return;
    work.onEnd();
  }
}
