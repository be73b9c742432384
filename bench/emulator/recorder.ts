/** Latencies and outcomes by customer and time window, in HDR histograms. */

import {build, type Histogram} from 'hdr-histogram-js';
import type {EmulatedRequest} from './workload';

/** How a request ended. */
export type Outcome = 'answered' | 'late' | 'refused' | 'failed';

/** A span of virtual time; a request counts in the window of its arrival. */
export interface Window {
  readonly name: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Resolution of the histograms. */
const UNITS_PER_MS = 100;

function histogram(): Histogram {
  return build({
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

/** Figures of one window. */
export class WindowFigures {
  readonly firstToken = histogram();
  /** Mean time between the tokens of one request. */
  readonly perToken = histogram();
  readonly betweenTokens = histogram();
  /** From the loss of a stream until its next token. */
  readonly resumeGap = histogram();
  readonly outcomes: Record<Outcome, number> = {
    answered: 0,
    late: 0,
    refused: 0,
    failed: 0,
  };

  constructor(readonly window: Window) {}

  /** Returns the milliseconds at a percentile. */
  static ms(values: Histogram, percentile: number): number {
    return values.getValueAtPercentile(percentile) / UNITS_PER_MS;
  }
}

/** Returns the 95th percentile in milliseconds over several histograms. */
export function pooledP95(histograms: readonly Histogram[]): number {
  const all = histogram();
  for (const one of histograms) all.add(one);
  return WindowFigures.ms(all, 95);
}

/** Collects the figures of one run. */
export class Recorder {
  private readonly figures: readonly WindowFigures[];
  private readonly perCustomer = new Map<string, readonly WindowFigures[]>();
  /** Cost of the work started in a window, by window and customer. */
  private readonly workByWindowAndCustomer = new Map<string, number>();

  constructor(private readonly windows: readonly Window[]) {
    this.figures = windows.map(window => new WindowFigures(window));
  }

  firstToken(req: EmulatedRequest, latencyMs: number): void {
    const value = Math.round(latencyMs * UNITS_PER_MS);
    for (const figures of this.figuresOf(req))
      figures.firstToken.recordValue(value);
  }

  /** Records the time from the first token to the last. */
  completion(req: EmulatedRequest, decodeMs: number): void {
    const gaps = Math.max(1, req.outputTokens - 1);
    const value = Math.round((decodeMs / gaps) * UNITS_PER_MS);
    for (const figures of this.figuresOf(req))
      figures.perToken.recordValue(value);
  }

  /** Records the time without tokens that the caller of a lost stream saw. */
  resumeGap(nowMs: number, gapMs: number): void {
    const value = Math.round(gapMs * UNITS_PER_MS);
    for (const figures of this.figuresAt(this.figures, nowMs))
      figures.resumeGap.recordValue(value);
  }

  betweenTokens(nowMs: number, gapMs: number, count: number): void {
    if (count === 0) return;
    const value = Math.round(gapMs * UNITS_PER_MS);
    for (const figures of this.figuresAt(this.figures, nowMs))
      figures.betweenTokens.recordValueWithCount(value, count);
  }

  outcome(req: EmulatedRequest, outcome: Outcome): void {
    for (const figures of this.figuresOf(req)) figures.outcomes[outcome]++;
  }

  /** Records the cost of work that was started for a customer. */
  work(customer: string, nowMs: number, cost: number): void {
    for (const figures of this.figuresAt(this.figures, nowMs)) {
      const key = `${figures.window.name}/${customer}`;
      this.workByWindowAndCustomer.set(
        key,
        (this.workByWindowAndCustomer.get(key) ?? 0) + cost
      );
    }
  }

  window(name: string): WindowFigures {
    return findWindow(this.figures, name);
  }

  customerWindow(customer: string, name: string): WindowFigures {
    return findWindow(this.customerFigures(customer), name);
  }

  customerWork(customer: string, name: string): number {
    return this.workByWindowAndCustomer.get(`${name}/${customer}`) ?? 0;
  }

  private figuresOf(req: EmulatedRequest): readonly WindowFigures[] {
    const all = this.figuresAt(this.figures, req.arrivedAt);
    if (all.length === 0) return all;
    const own = this.customerFigures(req.load.customer);
    return [...all, ...this.figuresAt(own, req.arrivedAt)];
  }

  private customerFigures(customer: string): readonly WindowFigures[] {
    const known = this.perCustomer.get(customer);
    if (known !== undefined) return known;
    const fresh = this.windows.map(window => new WindowFigures(window));
    this.perCustomer.set(customer, fresh);
    return fresh;
  }

  private figuresAt(
    figures: readonly WindowFigures[],
    nowMs: number
  ): readonly WindowFigures[] {
    return figures.filter(
      ({window}) => nowMs >= window.fromMs && nowMs < window.toMs
    );
  }
}

function findWindow(
  figures: readonly WindowFigures[],
  name: string
): WindowFigures {
  const found = figures.find(({window}) => window.name === name);
  if (found === undefined) throw new Error(`unknown window ${name}`);
  return found;
}
