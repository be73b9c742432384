/** Continuous batching: a request is prefilled first, then gains one token per step. */

import type {EngineConfig} from './engineConfig';

/** One request inside the engine. */
export interface Work {
  readonly requestId: string;
  /** Higher goes first. */
  readonly priority: number;
  /** Tokens that are not prefilled yet. */
  prefillTokensLeft: number;
  /** Index of the next token to generate. */
  nextToken: number;
  /** Index after the last token. */
  readonly end: number;
  onToken(index: number): void;
  onEnd(): void;
  onCancel(): void;
}

/** The running and the waiting requests of an engine. */
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

  /** Prompt tokens to prefill and output tokens to generate, over all requests. */
  tokensInWork(): number {
    return [...this.running, ...this.waiting].reduce(
      (sum, work) => sum + work.prefillTokensLeft + work.end - work.nextToken,
      0
    );
  }

  add(work: Work): void {
    const insertAt = this.waiting.findIndex(w => w.priority < work.priority);
    if (insertAt < 0) this.waiting.push(work);
    else this.waiting.splice(insertAt, 0, work);
  }

  has(work: Work): boolean {
    return this.running.includes(work) || this.waiting.includes(work);
  }

  /** Removes a request; false if it has already ended. */
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
      const prefill = Math.min(budget, work.prefillTokensLeft);
      budget -= prefill;
      work.prefillTokensLeft -= prefill;
      if (prefill > 0 || work.prefillTokensLeft > 0) continue;
      this.decode(work);
    }
  }

  private decode(work: Work): void {
    if (work.nextToken < work.end) work.onToken(work.nextToken++);
    if (work.nextToken < work.end || !this.remove(work)) return;
    work.onEnd();
  }
}
