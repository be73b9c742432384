/** What callers saw, by customer and time window, in HDR histograms. */

import {build, type Histogram} from 'hdr-histogram-js';
import type {EmulatedRequest} from './workload';

/** How a request ended. */
export type Outcome = 'answered' | 'late' | 'refused' | 'failed';

/** A span of virtual time; requests count where they arrived. */
export interface Window {
  readonly name: string;
  readonly fromMs: number;
  readonly toMs: number;
}

const SCALE = 100;

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

  /** Milliseconds at a percentile. */
  static ms(values: Histogram, percentile: number): number {
    return values.getValueAtPercentile(percentile) / SCALE;
  }
}

/** Milliseconds over the requests of several customers together. */
export function pooledP95(histograms: readonly Histogram[]): number {
  const all = histogram();
  for (const one of histograms) all.add(one);
  return WindowFigures.ms(all, 95);
}

/** Collects the figures of one run. */
export class Recorder {
  private readonly figures: readonly WindowFigures[];
  private readonly perCustomer = new Map<string, readonly WindowFigures[]>();
  /** Output tokens made in each window, by customer. */
  private readonly tokens = new Map<string, number>();

  constructor(private readonly windows: readonly Window[]) {
    this.figures = windows.map(window => new WindowFigures(window));
  }

  firstToken(req: EmulatedRequest, latencyMs: number): void {
    const value = Math.round(latencyMs * SCALE);
    for (const figures of this.of(req)) figures.firstToken.recordValue(value);
  }

  /** Takes the time from the first token to the last. */
  completion(req: EmulatedRequest, decodeMs: number): void {
    const gaps = Math.max(1, req.outputTokens - 1);
    const value = Math.round((decodeMs / gaps) * SCALE);
    for (const figures of this.of(req)) figures.perToken.recordValue(value);
  }

  /** The longest silence that the caller of a lost stream saw. */
  resumeGap(nowMs: number, gapMs: number): void {
    const value = Math.round(gapMs * SCALE);
    for (const figures of this.at(this.figures, nowMs))
      figures.resumeGap.recordValue(value);
  }

  betweenTokens(nowMs: number, gapMs: number, count: number): void {
    if (count === 0) return;
    const value = Math.round(gapMs * SCALE);
    for (const figures of this.at(this.figures, nowMs))
      figures.betweenTokens.recordValueWithCount(value, count);
  }

  outcome(req: EmulatedRequest, outcome: Outcome): void {
    for (const figures of this.of(req)) figures.outcomes[outcome]++;
  }

  /** Work begun for a customer at a time, in cost. */
  work(customer: string, nowMs: number, cost: number): void {
    for (const figures of this.at(this.figures, nowMs)) {
      const key = `${figures.window.name}/${customer}`;
      this.tokens.set(key, (this.tokens.get(key) ?? 0) + cost);
    }
  }

  window(name: string): WindowFigures {
    return pick(this.figures, name);
  }

  customerWindow(customer: string, name: string): WindowFigures {
    return pick(this.customerFigures(customer), name);
  }

  customerWork(customer: string, name: string): number {
    return this.tokens.get(`${name}/${customer}`) ?? 0;
  }

  private of(req: EmulatedRequest): readonly WindowFigures[] {
    const all = this.at(this.figures, req.arrivedAt);
    if (all.length === 0) return all;
    const own = this.customerFigures(req.load.customer);
    return [...all, ...this.at(own, req.arrivedAt)];
  }

  private customerFigures(customer: string): readonly WindowFigures[] {
    const known = this.perCustomer.get(customer);
    if (known !== undefined) return known;
    const fresh = this.windows.map(window => new WindowFigures(window));
    this.perCustomer.set(customer, fresh);
    return fresh;
  }

  private at(
    figures: readonly WindowFigures[],
    nowMs: number
  ): readonly WindowFigures[] {
    return figures.filter(
      ({window}) => nowMs >= window.fromMs && nowMs < window.toMs
    );
  }
}

function pick(figures: readonly WindowFigures[], name: string): WindowFigures {
  const found = figures.find(({window}) => window.name === name);
  if (found === undefined) throw new Error(`no window ${name}`);
  return found;
}
