/**
 * A model engine over virtual time: continuous batching in steps, chunked
 * prefill, a bounded prefix cache, and a cold start that falls over.
 */

import type {EventQueue} from './eventQueue';

/** Speeds of an engine; a step is base + per sequence + per prompt token. */
export interface EngineShape {
  readonly baseStepMs: number;
  readonly perSequenceMs: number;
  readonly perPromptTokenMs: number;
  /** Prompt tokens that one step takes in at most. */
  readonly chunkTokens: number;
  readonly cachedPrefixes: number;
  /** Requests at once on a warm engine. */
  readonly full: number;
}

/** How a cold engine warms; it falls over when it runs more than it bears. */
export interface ColdShape {
  readonly start: number;
  /** Time under load until it bears all. */
  readonly warmMs: number;
  /** 1: bearable work grows evenly; 2: slowly first. */
  readonly exponent: number;
  readonly restartMs: number;
}

/** One request inside an engine. */
export interface Sequence {
  /** Prompts of a higher priority are taken in first. */
  readonly priority: number;
  readonly prefixKey: string;
  readonly prefixTokens: number;
  promptLeft: number;
  outputLeft: number;
  readonly onFirstToken: () => void;
  readonly onDone: () => void;
  /** The engine fell over, or its process was killed. */
  readonly onLost: () => void;
}

/** What is watched from beside the engine. */
export interface StepEvent {
  readonly durationMs: number;
  /** Sequences that got a token. */
  readonly decoded: number;
  readonly running: number;
  /** Whether prompt tokens took part of the step. */
  readonly prefilled: boolean;
}

/** Engine of today's deployments: about 2500 tokens a second when full. */
export const ENGINE_SHAPE: EngineShape = {
  baseStepMs: 14,
  perSequenceMs: 0.18,
  perPromptTokenMs: 0.015,
  chunkTokens: 512,
  cachedPrefixes: 40,
  full: 64,
};

/** Work over bearable from which a cold engine slows down. */
const STRAIN_FROM = 0.6;
/** Step time of an engine that runs all it can bear, over the usual one. */
const MOST_STRAIN = 4;

/** One engine. */
export class Engine {
  /** Step time over that of a usual engine. */
  slow = 1;
  /** Most work over bearable that it ever got while cold. */
  mostOverBearable = 0;
  falls = 0;
  onStep: (event: StepEvent) => void = () => undefined;
  onFall: () => void = () => undefined;
  private readonly decoding = new Set<Sequence>();
  private readonly prefilling: Sequence[] = [];
  private readonly prefixes = new Map<string, true>();
  private stepping = false;
  private boot = 0;
  private alive = true;
  private silent = false;
  private cold: ColdShape | undefined;
  private warmedMs = 0;

  constructor(
    private readonly events: EventQueue,
    readonly shape: EngineShape
  ) {}

  get running(): number {
    return this.decoding.size + this.prefilling.length;
  }

  get isAlive(): boolean {
    return this.alive;
  }

  /** Whether connections to it are refused, rather than left open. */
  get refuses(): boolean {
    return !this.alive && !this.silent;
  }

  /** Tokens still to make, for a chooser with perfect knowledge. */
  get tokensLeft(): number {
    let total = 0;
    for (const sequence of this.decoding) total += sequence.outputLeft;
    for (const sequence of this.prefilling) total += sequence.outputLeft;
    return total;
  }

  /** Prompt tokens still to take in. */
  get promptLeft(): number {
    return this.prefilling.reduce((sum, item) => sum + item.promptLeft, 0);
  }

  hasPrefix(key: string): boolean {
    return this.prefixes.has(key);
  }

  /** Requests that it can bear now. */
  bearable(): number {
    if (this.cold === undefined) return Infinity;
    const part = Math.min(1, this.warmedMs / this.cold.warmMs);
    if (part === 1) return Infinity;
    const {start, exponent} = this.cold;
    return start + (this.shape.full - start) * Math.pow(part, exponent);
  }

  /** Turns it cold in place; what it runs goes on. */
  turnCold(cold: ColdShape): void {
    this.cold = cold;
    this.warmedMs = 0;
    this.prefixes.clear();
  }

  start(sequence: Sequence): void {
    if (!this.alive) {
      if (!this.silent) this.events.after(0, sequence.onLost);
      return;
    }
    const bearable = this.bearable();
    const over = (this.running + 1) / bearable;
    this.mostOverBearable = Math.max(this.mostOverBearable, over);
    if (this.prefixes.has(sequence.prefixKey))
      sequence.promptLeft -= sequence.prefixTokens;
    this.touchPrefix(sequence.prefixKey);
    this.enqueue(sequence);
    if (over > 1) {
      this.fall();
      return;
    }
    this.wake();
  }

  /** Stops at once; what ran is lost, and callers learn it or not. */
  kill(tellCallers: boolean): void {
    this.silent = !tellCallers;
    const lost = [...this.decoding, ...this.prefilling];
    this.decoding.clear();
    this.prefilling.length = 0;
    this.prefixes.clear();
    this.alive = false;
    this.stepping = false;
    this.boot++;
    if (tellCallers) lost.forEach(sequence => sequence.onLost());
  }

  revive(cold: ColdShape | undefined): void {
    this.alive = true;
    this.cold = cold;
    this.warmedMs = 0;
  }

  private enqueue(sequence: Sequence): void {
    const place = this.prefilling.findIndex(
      other => other.priority < sequence.priority
    );
    if (place < 0) this.prefilling.push(sequence);
    else this.prefilling.splice(place, 0, sequence);
  }

  private fall(): void {
    this.falls++;
    this.onFall();
    this.kill(true);
    const cold = this.cold!;
    this.events.after(cold.restartMs, () => this.revive(cold));
  }

  private wake(): void {
    if (this.stepping || this.running === 0) return;
    this.stepping = true;
    this.beginStep();
  }

  private beginStep(): void {
    const decoding = this.decoding.size;
    const done = this.takeChunk();
    const {baseStepMs, perSequenceMs, perPromptTokenMs} = this.shape;
    const usual =
      baseStepMs + perSequenceMs * decoding + perPromptTokenMs * done.tokens;
    const durationMs = usual * this.slow * this.strain();
    const boot = this.boot;
    this.events.after(durationMs, () => {
      if (boot === this.boot) this.endStep(durationMs, done);
    });
  }

  private takeChunk(): {tokens: number; complete: readonly Sequence[]} {
    let room = this.shape.chunkTokens;
    let count = 0;
    for (const sequence of this.prefilling) {
      const taken = Math.min(room, sequence.promptLeft);
      sequence.promptLeft -= taken;
      room -= taken;
      if (sequence.promptLeft > 0) break;
      count++;
    }
    const complete = this.prefilling.splice(0, count);
    return {tokens: this.shape.chunkTokens - room, complete};
  }

  private endStep(
    durationMs: number,
    done: {tokens: number; complete: readonly Sequence[]}
  ): void {
    const decoded = this.decoding.size;
    const running = this.running + done.complete.length;
    this.warm(durationMs, running);
    const finished: Sequence[] = [];
    for (const sequence of this.decoding)
      if (--sequence.outputLeft <= 0) finished.push(sequence);
    for (const sequence of finished) this.decoding.delete(sequence);
    for (const sequence of done.complete) this.firstToken(sequence, finished);
    const prefilled = done.tokens > 0;
    this.onStep({durationMs, decoded, running, prefilled});
    const boot = this.boot;
    for (const sequence of finished) sequence.onDone();
    if (boot !== this.boot) return;
    if (this.running > 0) this.beginStep();
    else this.stepping = false;
  }

  private firstToken(sequence: Sequence, finished: Sequence[]): void {
    sequence.outputLeft--;
    if (sequence.outputLeft <= 0) finished.push(sequence);
    else this.decoding.add(sequence);
    sequence.onFirstToken();
  }

  private warm(durationMs: number, running: number): void {
    if (this.cold === undefined) return;
    const use = Math.min(1, (2 * running) / this.bearable());
    this.warmedMs += durationMs * use;
    if (this.warmedMs >= this.cold.warmMs) this.cold = undefined;
  }

  /** A cold engine slows before it falls over. */
  private strain(): number {
    const use = this.running / this.bearable();
    const part = Math.max(0, use - STRAIN_FROM) / (1 - STRAIN_FROM);
    return 1 + (MOST_STRAIN - 1) * Math.min(part, 2);
  }

  private touchPrefix(key: string): void {
    this.prefixes.delete(key);
    this.prefixes.set(key, true);
    if (this.prefixes.size <= this.shape.cachedPrefixes) return;
    const oldest = this.prefixes.keys().next().value;
    if (oldest !== undefined) this.prefixes.delete(oldest);
  }
}
