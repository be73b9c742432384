/** Options and results of a measure. The shape of the results is stable. */

/** Options of a run. */
export interface MeasureOptions {
  /** Shorter runs: all measures together take under 50 seconds. */
  readonly quick: boolean;
  readonly seed: number;
}

/** Figures by name; each name ends in its unit. */
export type Figures = Readonly<Record<string, number>>;

/** One chart of the report. */
export interface Plot {
  readonly title: string;
  /** Unit of the vertical axis. */
  readonly unit: string;
  readonly series: readonly PlotSeries[];
}

/** One series of a chart: a line if it has several points, else a bar. */
export interface PlotSeries {
  readonly name: string;
  readonly points: readonly {readonly x: number; readonly y: number}[];
}

/** Result of a measure; `ours` and all baselines come from the same run. */
export interface MeasureResult {
  readonly ours: Figures;
  readonly baselines: Readonly<Record<string, Figures>>;
  /** Best values that any policy could reach, where they are known. */
  readonly bound?: Figures;
  /** The goals to reach, in words. */
  readonly mark: string;
  readonly met: boolean;
  /** Why the goal was missed; absent when it was met. */
  readonly cause?: string;
  readonly plots?: readonly Plot[];
}

/** A measure; `key` identifies it in the JSON output and in `--only`. */
export interface Measure {
  readonly key: string;
  run(options: MeasureOptions): Promise<MeasureResult>;
}
