/** Computes the rows of docs/CAPACITY.md from the measured figures. */

import {diffRules} from '../../src/rules/ruleDiff';
import {mean} from './leastSquares';
import {Measured, Quantity, Role, figure, lineOf, sizesOf} from './measured';
import {
  CONTROLS_PER_REGION,
  LIMITS,
  PLANNED,
  REGIONS,
  TARGETS_PER_ENTRY,
  Size,
  TODAY,
  plannedRules,
} from './plan';

/** One row of a role's table. */
export interface Row {
  readonly what: string;
  readonly today: string;
  readonly planned: string;
  /** The mechanism that supports the planned size, or one that would. */
  readonly mechanism: string;
  readonly carried: boolean;
}

/** The table of one process role. */
export interface RoleTable {
  readonly role: string;
  readonly rows: readonly Row[];
}

const SECONDS_PER_DAY = 86_400;
const US_PER_S = 1e6;
/** Interval of usage reports; see `UsageTo`. */
const USAGE_INTERVAL_S = 5;

/**
 * Below this coefficient of determination, the slope of an entry or agent is
 * noise and the mean is used for all sizes. The cost of control is known to
 * grow, so its line is always used, and the table shows its fit.
 */
const MIN_R2 = 0.8;

/** Processor time is measured idle, since under load it would include that of the calls. */
const STATES = {
  processorPercent: 'idle',
  rssMb: 'load',
  bytesPerS: 'load',
} as const;

/** Value of the fitted line at `n` agents, or the mean if the slope is noise. */
function valueAt(
  measured: Measured,
  role: Role,
  quantity: Quantity,
  n: number
): number {
  const line = lineOf(measured, role, quantity, STATES[quantity]);
  const isControl = role === 'leader' || role === 'follower';
  const isNoise = !isControl && line.r2 < MIN_R2;
  const x = isNoise ? meanSize(measured) : n;
  return line.intercept + line.slope * x;
}

/** Percentage of a core that the calls and tokens of one process take. */
function trafficPercent(
  {requestsPerS, tokensPerS}: Size,
  processes: number,
  usPerCall: number,
  usPerToken: number
): number {
  const us = requestsPerS * usPerCall + tokensPerS * usPerToken;
  return (100 * us) / processes / US_PER_S;
}

function entryRows(measured: Measured): readonly Row[] {
  const controlBytes = (n: number) =>
    valueAt(measured, 'entry', 'bytesPerS', n);
  const subsetBytes = controlBytes(TARGETS_PER_ENTRY);
  const {entryOverhead} = measured;
  const perCall = figure(entryOverhead, 'entryUsPerCall');
  const perToken = figure(entryOverhead, 'entryUsPerToken');
  const traffic = (size: Size) =>
    trafficPercent(size, size.entries, perCall, perToken);
  const rss = (n: number) => valueAt(measured, 'entry', 'rssMb', n);
  return [
    {
      what: 'targets known',
      today: String(TODAY.agents),
      planned: `${TARGETS_PER_ENTRY} of ${PLANNED.agents}, 8 of each of 9 pools`,
      mechanism:
        'subset by rendezvous hash of entry and target, filtered by control',
      carried: true,
    },
    {
      what: 'bytes of control',
      today: bytes(controlBytes(TODAY.agents)),
      planned: `${bytes(subsetBytes)} with subsets`,
      mechanism: 'subsets, announcements only when changed',
      carried: subsetBytes <= LIMITS.bytesPerS,
    },
    {
      what: 'processor for control',
      today: percent(
        valueAt(measured, 'entry', 'processorPercent', TODAY.agents)
      ),
      planned: `${percent(valueAt(measured, 'entry', 'processorPercent', TARGETS_PER_ENTRY))} with subsets`,
      mechanism: 'one poll of each control instance every 500 ms',
      carried:
        valueAt(measured, 'entry', 'processorPercent', TARGETS_PER_ENTRY) <=
        LIMITS.processorPercent,
    },
    {
      what: 'memory, whole process',
      today: megabytes(rss(TODAY.agents)),
      planned: `${megabytes(rss(TARGETS_PER_ENTRY))} with subsets`,
      mechanism: 'a bare Node process holds 41 MB of it',
      carried: rss(TARGETS_PER_ENTRY) <= LIMITS.rssMb,
    },
    {
      what: 'processor for calls and tokens',
      today: percent(traffic(TODAY)),
      planned: `${percent(traffic(PLANNED))} (${round(PLANNED.requestsPerS / PLANNED.entries)} calls/s, ${round(PLANNED.tokensPerS / PLANNED.entries)} tokens/s)`,
      mechanism:
        'one loop on one thread; work spread over entries by the platform',
      carried: traffic(PLANNED) <= 70,
    },
  ];
}

function agentRows(measured: Measured): readonly Row[] {
  const {entryOverhead} = measured;
  const perCall = figure(entryOverhead, 'agentUsPerCall');
  const perToken = figure(entryOverhead, 'agentUsPerToken');
  const traffic = (size: Size) =>
    trafficPercent(size, size.agents, perCall, perToken);
  const rows: readonly [string, Quantity, (n: number) => string, string][] = [
    [
      'bytes of control',
      'bytesPerS',
      bytes,
      'announcement by number, rules by difference; nothing grows with the deployment',
    ],
    [
      'processor for control and probes',
      'processorPercent',
      percent,
      'one poll of each control instance every 500 ms, one look at the target every 250 ms',
    ],
    [
      'memory, whole process',
      'rssMb',
      megabytes,
      'a bare Node process holds 41 MB of it',
    ],
  ];
  return [
    ...rows.map(([what, quantity, show, mechanism]) => {
      // The work of an agent does not depend on the number of agents.
      const value = valueAt(measured, 'agent', quantity, meanSize(measured));
      const carried = value <= LIMITS[quantity];
      return {
        what,
        today: show(value),
        planned: show(value),
        mechanism,
        carried,
      };
    }),
    {
      what: 'processor for calls and tokens',
      today: percent(traffic(TODAY)),
      planned: percent(traffic(PLANNED)),
      mechanism: 'one agent beside each target',
      carried: traffic(PLANNED) <= 70,
    },
  ];
}

function meanSize(measured: Measured): number {
  return mean(sizesOf(measured));
}

function controlRows(measured: Measured): readonly Row[] {
  const agentsPerRegion = Math.ceil(PLANNED.agents / REGIONS);
  const rows: readonly [string, Quantity, (n: number) => string, number][] = [
    ['processor', 'processorPercent', percent, 70],
    ['memory, whole process', 'rssMb', megabytes, 1_000],
    ['bytes', 'bytesPerS', bytes, Infinity],
  ];
  const fit = (role: Role, quantity: Quantity) =>
    round(lineOf(measured, role, quantity, STATES[quantity]).r2);
  const scaled = (['leader', 'follower'] as const).flatMap(role =>
    rows.map(([what, quantity, show, limit]) => {
      const value = (n: number) => valueAt(measured, role, quantity, n);
      return {
        what: `${role}: ${what}`,
        today: show(value(TODAY.agents)),
        planned: `${show(value(PLANNED.agents))} in one log, ${show(value(agentsPerRegion))} in a region's (R² ${fit(role, quantity)})`,
        mechanism: `would: log and membership sharded by region, ${REGIONS} x ${CONTROLS_PER_REGION} instances, and relays in each zone that poll for its processes; entries counted as agents`,
        carried: value(PLANNED.agents) <= limit && quantity !== 'bytesPerS',
      };
    })
  );
  return [...scaled, ...changeRows()];
}

/** Rows about changes and usage; text sizes are computed by the product's own code. */
function changeRows(): readonly Row[] {
  const from = {revision: 1, text: plannedRules(1)};
  const nextText = from.text.replace('revision 1 ', 'revision 2 ');
  const to = {revision: 2, text: nextText.replace('zone-5 in', 'zone-5 out')};
  const diff = JSON.stringify(diffRules(from, to)).length;
  const bytesPerSecond = (size: number) =>
    (size * PLANNED.changesPerDay) / SECONDS_PER_DAY;
  const logPerDay = (size: Size) =>
    (size.changesPerDay * from.text.length) / 1e6;
  return [
    {
      what: 'a change of one line, to each process from each instance',
      today: `${diff} bytes`,
      planned: `${diff} bytes against ${from.text.length} whole; ${round(CONTROLS_PER_REGION * bytesPerSecond(diff))} bytes/s at ${PLANNED.changesPerDay} changes a day`,
      mechanism: 'difference checked by digest, else the whole file',
      carried: CONTROLS_PER_REGION * bytesPerSecond(diff) <= LIMITS.bytesPerS,
    },
    {
      what: 'log written for changes',
      today: `${round(logPerDay(TODAY))} MB a day`,
      planned: `${round(logPerDay(PLANNED))} MB a day`,
      mechanism:
        'whole files in the log, cut by snapshots; would: differences in log and snapshots',
      carried: false,
    },
    {
      what: 'instances set aside',
      today: String(TODAY.controls),
      planned: `${REGIONS * CONTROLS_PER_REGION} of at most ${PLANNED.controls}`,
      mechanism: 'would: a log for each region, rules agreed among the regions',
      carried: false,
    },
    {
      what: 'keys of non-idempotent calls',
      today: 'not measured',
      planned: 'not measured',
      mechanism:
        'one log for all claims; would: claims sharded by customer and key',
      carried: false,
    },
    {
      what: 'use for charging, from each entry',
      today: `${round(usageReportBytes(TODAY))} bytes/s`,
      planned: `${round(usageReportBytes(PLANNED))} bytes/s with another customer at each call`,
      mechanism: 'rows that changed within 5 s, to the leader only',
      carried: usageReportBytes(PLANNED) <= LIMITS.bytesPerS,
    },
    {
      what: 'log written for use',
      today: bytes(usageLogBytes(TODAY)),
      planned: `${bytes(usageLogBytes(PLANNED))} in one log, ${bytes(usageLogBytes(PLANNED) / REGIONS)} in a region's`,
      mechanism:
        'all rows of each entry whose use changed, every 5 s; would: changed rows only, as entries send them',
      carried: false,
    },
  ];
}

/** Size of one usage row as it is sent. */
function usageRowBytes(): number {
  const row = {customer: 'customer-100', requests: 1e6, tokens: 1e9};
  return JSON.stringify({...row, queueMs: 1e6}).length;
}

/** Rate of usage reports of one entry; a call changes at most one row. */
function usageReportBytes({customers, requestsPerS, entries}: Size): number {
  const calls = (requestsPerS / entries) * USAGE_INTERVAL_S;
  return (Math.min(customers, calls) * usageRowBytes()) / USAGE_INTERVAL_S;
}

function usageLogBytes({customers, entries}: Size): number {
  return (entries * customers * usageRowBytes()) / USAGE_INTERVAL_S;
}

/** The tables of all roles. */
export function roleTables(measured: Measured): readonly RoleTable[] {
  return [
    {role: 'Entry', rows: entryRows(measured)},
    {role: 'Agent', rows: agentRows(measured)},
    {role: 'Control instance', rows: controlRows(measured)},
  ];
}

/** Formats a number with three significant digits. */
export function round(value: number): string {
  return String(Number(value.toPrecision(3)));
}

function bytes(value: number): string {
  return `${round(value / 1_000)} KB/s`;
}

function percent(value: number): string {
  return `${round(value)}% of a core`;
}

function megabytes(value: number): string {
  return `${round(value)} MB`;
}
