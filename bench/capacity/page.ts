/** Writes the tables of docs/CAPACITY.md from docs/measured. */

import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {Measured, figure, lineOf, readMeasured, sizesOf} from './measured';
import {RoleTable, Row, roleTables, round} from './rows';

const TABLES_START =
  '<!-- worked out by: node scripts/run.mjs capacity page -->';
const TABLES_END = '<!-- end of the tables -->';
const STATES = ['idle', 'load'] as const;
const ROLES = ['entry', 'agent', 'leader', 'follower'] as const;
const QUANTITIES = ['processorPercent', 'rssMb', 'bytesPerS'] as const;
/** The page, relative to the repository root. */
export const PAGE_FILE = path.join('docs', 'CAPACITY.md');

/** Replaces the tables of the page under `root`. */
export function writePage(root: string): void {
  const file = path.join(root, PAGE_FILE);
  const text = readFileSync(file, 'utf8');
  writeFileSync(file, withTables(text, readMeasured(root)));
}

/** The page text with its tables computed from the measured figures. */
export function withTables(text: string, measured: Measured): string {
  const [before, rest] = text.split(TABLES_START);
  const [, after] = (rest ?? '').split(TABLES_END);
  if (before === undefined || after === undefined)
    throw new Error(`${PAGE_FILE} lacks the markers of its tables`);
  return `${before}${TABLES_START}\n\n${tables(measured)}\n${TABLES_END}${after}`;
}

function tables(measured: Measured): string {
  const roles = roleTables(measured).map(roleTable);
  const costs = [overheadTable(measured), boundsTable(measured)];
  return [...roles, ...costs, slopeTable(measured)].join('\n');
}

function roleTable({role, rows}: RoleTable): string {
  return table(
    `### ${role}`,
    ['What', "Today's sizes", 'Size to design for', 'Carried', 'Mechanism'],
    rows.map(({what, today, planned, carried, mechanism}: Row) => [
      what,
      today,
      planned,
      carried ? 'yes' : 'not carried today',
      mechanism,
    ])
  );
}

/** Cost of a call through the balancer and through the bare proxy. */
function overheadTable({entryOverhead}: Measured): string {
  const bare = entryOverhead.baselines['bareProxy'] ?? {};
  const rows = Object.entries(entryOverhead.ours).map(([name, value]) => {
    const other = bare[name];
    return [name, round(value), other === undefined ? '-' : round(other)];
  });
  return table('### Calls', ['Figure', 'Ours', 'Bare proxy'], rows);
}

/** Measured times and the bounds that they must meet. */
function boundsTable({bounds}: Measured): string {
  const marks = bounds.baselines['mark'] ?? {};
  const rows = Object.entries(bounds.ours).map(([name, value]) => {
    const mark = marks[name];
    return [name, round(value), mark === undefined ? '-' : round(mark)];
  });
  return table(
    "### Times at today's sizes",
    ['Figure', 'Measured', 'Mark'],
    rows
  );
}

function slopeTable(measured: Measured): string {
  const sizes = sizesOf(measured);
  const rows = STATES.flatMap(state =>
    ROLES.flatMap(role =>
      QUANTITIES.map(quantity => {
        const line = lineOf(measured, role, quantity, state);
        const points = sizes.map(size =>
          figure(measured.controlCost, `${role}.${state}.${quantity}.at${size}`)
        );
        const {slope, intercept, r2} = line;
        const numbers = [...points, slope, intercept, r2].map(round);
        return [role, state, quantity, ...numbers];
      })
    )
  );
  const sizeHeaders = sizes.map(size => `${size} agents`);
  return table(
    '### Slopes over the number of agents',
    [
      'Role',
      'State',
      'Quantity',
      ...sizeHeaders,
      'Slope an agent',
      'Intercept',
      'R²',
    ],
    rows
  );
}

function table(
  title: string,
  head: readonly string[],
  rows: readonly (readonly string[])[]
): string {
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  const rule = line(head.map(() => '---'));
  return [title, '', line(head), rule, ...rows.map(line), ''].join('\n');
}
