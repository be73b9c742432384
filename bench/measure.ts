/** What a measure of the bench takes and gives; kept stable. */

/** Options of a run. */
export interface MeasureOptions {
  /** Shorter runs, for the whole bench in under 50 seconds. */
  readonly quick: boolean;
  readonly seed: number;
}

/** Named figures; the unit stands at the end of each name. */
export type Figures = Readonly<Record<string, number>>;

/** One bar or line of the report. */
export interface Plot {
  readonly title: string;
  /** Unit of the vertical axis. */
  readonly unit: string;
  readonly series: readonly PlotSeries[];
}

/** Points of one line; several points draw a line, single ones a bar. */
export interface PlotSeries {
  readonly name: string;
  readonly points: readonly {readonly x: number; readonly y: number}[];
}

/** What a measure found; `ours` and each baseline come from the same run. */
export interface MeasureResult {
  readonly ours: Figures;
  readonly baselines: Readonly<Record<string, Figures>>;
  /** Best reachable values, where there are any. */
  readonly bound?: Figures;
  /** The marks to reach, in words. */
  readonly mark: string;
  readonly met: boolean;
  /** Plain reason for falling short; absent when met. */
  readonly cause?: string;
  readonly plots?: readonly Plot[];
}

/** One measure; `key` is its key in the JSON. */
export interface Measure {
  readonly key: string;
  run(options: MeasureOptions): Promise<MeasureResult>;
}
