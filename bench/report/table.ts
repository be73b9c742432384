/** Report as plain text tables. */

import type {Figures, MeasureResult} from '../measure';

/** Result of one measure in a report. */
export interface ReportedResult {
  readonly key: string;
  readonly result: MeasureResult;
  readonly elapsedMs: number;
}

const NAME_WIDTH = 44;
const VALUE_WIDTH = 16;

/**
 * One table per measure, with a row for each figure and columns for the product,
 * the bound and the baselines.
 */
export function textTable(results: readonly ReportedResult[]): string {
  return results.map(measureTable).join('\n');
}

function measureTable({key, result}: ReportedResult): string {
  const columns = columnsOf(result);
  const header = row(
    key,
    columns.map(([name]) => name)
  );
  const rows = figureNames(columns).map(name =>
    row(
      `  ${name}`,
      columns.map(([, figures]) => formatFigure(figures[name]))
    )
  );
  const verdict = result.met ? 'met' : `SHORT: ${result.cause ?? 'no cause'}`;
  return [header, ...rows, `  mark: ${result.mark}: ${verdict}`, ''].join('\n');
}

/** Columns in order: the product, the bound, the baselines. */
export function columnsOf(
  result: MeasureResult
): readonly (readonly [string, Figures])[] {
  const bound = result.bound ? [['bound', result.bound] as const] : [];
  return [['ours', result.ours], ...bound, ...Object.entries(result.baselines)];
}

/** Names of all figures in any of the columns. */
export function figureNames(
  columns: readonly (readonly [string, Figures])[]
): readonly string[] {
  return [...new Set(columns.flatMap(([, figures]) => Object.keys(figures)))];
}

/** Formats with three significant digits; undefined becomes a dash. */
export function formatFigure(value: number | undefined): string {
  if (value === undefined) return '-';
  if (Number.isInteger(value)) return String(value);
  return String(Number(value.toPrecision(3)));
}

function row(name: string, cells: readonly string[]): string {
  const padded = cells.map(cell => cell.padStart(VALUE_WIDTH));
  return name.padEnd(NAME_WIDTH) + padded.join('');
}
