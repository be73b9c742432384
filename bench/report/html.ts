/** Report as one HTML page with SVG plots, without external resources. */

import type {Plot, PlotSeries} from '../measure';
import {
  columnsOf,
  figureNames,
  formatFigure,
  type ReportedResult,
} from './table';

const WIDTH = 640;
const HEIGHT = 260;
const MARGIN = 48;
const COLORS = ['#0b6e4f', '#c1121f', '#3a5a9b', '#b8860b', '#6a4c93', '#555'];
const STYLE =
  'body{font:15px sans-serif;max-width:60em;margin:2em auto}' +
  'td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}' +
  'td:first-child,th:first-child{text-align:left}.short{color:#c1121f}';

/** Returns the HTML page. */
export function htmlReport(results: readonly ReportedResult[]): string {
  const sections = results.map(section).join('\n');
  return (
    '<!doctype html><meta charset="utf-8"><title>marlpulley bench</title>' +
    `<style>${STYLE}</style><h1>marlpulley bench</h1>\n${sections}\n`
  );
}

function section(reported: ReportedResult): string {
  const {key, result} = reported;
  const columns = columnsOf(result);
  const head = ['figure', ...columns.map(([name]) => name)];
  const rows = figureNames(columns).map(name => [
    name,
    ...columns.map(([, figures]) => formatFigure(figures[name])),
  ]);
  const verdict = result.met
    ? '<p>met</p>'
    : `<p class="short">short: ${escapeHtml(result.cause ?? '')}</p>`;
  const plots = (result.plots ?? []).map(plotSvg).join('');
  return (
    `<h2>${escapeHtml(key)}</h2><p>mark: ${escapeHtml(result.mark)}</p>` +
    `${verdict}<table>${tableRow('th', head)}` +
    `${rows.map(cells => tableRow('td', cells)).join('')}</table>${plots}`
  );
}

function tableRow(tag: 'th' | 'td', cells: readonly string[]): string {
  const inner = cells.map(cell => `<${tag}>${escapeHtml(cell)}</${tag}>`);
  return `<tr>${inner.join('')}</tr>`;
}

interface Scale {
  readonly minX: number;
  readonly maxX: number;
  readonly maxY: number;
}

/** Draws a line plot, or a bar chart if each series has a single point. */
export function plotSvg(plot: Plot): string {
  const points = plot.series.flatMap(series => series.points);
  if (points.length === 0) return '';
  const scale: Scale = {
    minX: Math.min(...points.map(point => point.x)),
    maxX: Math.max(...points.map(point => point.x)),
    maxY: Math.max(...points.map(point => point.y), 1e-9),
  };
  const isBarChart = plot.series.every(series => series.points.length === 1);
  const drawn = plot.series
    .map((series, index) =>
      isBarChart
        ? bar(series, index, plot.series.length, scale)
        : line(series, index, scale)
    )
    .join('');
  return (
    `<figure><figcaption>${escapeHtml(plot.title)} (${escapeHtml(plot.unit)})` +
    `</figcaption><svg width="${WIDTH}" height="${HEIGHT}" role="img">` +
    `${axes(scale, isBarChart)}${drawn}</svg></figure>`
  );
}

function axes(scale: Scale, isBarChart: boolean): string {
  const bottom = HEIGHT - MARGIN;
  const xLabels = isBarChart
    ? ''
    : text(MARGIN, HEIGHT - 30, formatFigure(scale.minX)) +
      text(WIDTH - MARGIN, HEIGHT - 30, formatFigure(scale.maxX));
  return (
    `<path d="M${MARGIN} 10V${bottom}H${WIDTH - 10}" fill="none" stroke="#999"/>` +
    text(2, 16, formatFigure(scale.maxY)) +
    text(2, bottom, '0') +
    xLabels
  );
}

function line(series: PlotSeries, index: number, scale: Scale): string {
  const spanX = Math.max(1e-9, scale.maxX - scale.minX);
  const toPoint = ({x, y}: {readonly x: number; readonly y: number}) => {
    const left = MARGIN + ((x - scale.minX) / spanX) * (WIDTH - 2 * MARGIN);
    const top = HEIGHT - MARGIN - (y / scale.maxY) * (HEIGHT - MARGIN - 10);
    return `${left.toFixed(1)},${top.toFixed(1)}`;
  };
  const color = COLORS[index % COLORS.length]!;
  return (
    `<polyline points="${series.points.map(toPoint).join(' ')}" fill="none" ` +
    `stroke="${color}"/>${legend(series.name, index, color)}`
  );
}

function bar(
  series: PlotSeries,
  index: number,
  count: number,
  scale: Scale
): string {
  const slot = (WIDTH - 2 * MARGIN) / count;
  const height = (series.points[0]!.y / scale.maxY) * (HEIGHT - MARGIN - 24);
  const left = MARGIN + index * slot + slot * 0.1;
  const top = HEIGHT - MARGIN - height;
  const color = COLORS[index % COLORS.length]!;
  return (
    `<rect x="${left}" y="${top}" width="${slot * 0.8}" height="${height}" ` +
    `fill="${color}"/>${text(left, HEIGHT - 30, series.name)}` +
    text(left, top - 4, formatFigure(series.points[0]!.y))
  );
}

function legend(name: string, index: number, color: string): string {
  const x = MARGIN + index * 120;
  return `<text x="${x}" y="${HEIGHT - 8}" font-size="12" fill="${color}">${escapeHtml(name)}</text>`;
}

function text(x: number, y: number, content: string): string {
  return `<text x="${x}" y="${y}" font-size="12">${escapeHtml(content)}</text>`;
}

function escapeHtml(value: string): string {
  return value
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
