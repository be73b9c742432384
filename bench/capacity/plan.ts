/** The two deployment sizes of docs/CAPACITY.md: today's and the planned one. */

/** Figures of one deployment size. */
export interface Size {
  readonly entries: number;
  readonly agents: number;
  readonly controls: number;
  readonly requestsPerS: number;
  readonly tokensPerS: number;
  readonly customers: number;
  readonly changesPerDay: number;
}

/** Each user's size today; the rates are the most that two entries get. */
export const TODAY: Size = {
  entries: 2,
  agents: 15,
  controls: 3,
  requestsPerS: 50,
  tokensPerS: 2_000,
  customers: 10,
  changesPerDay: 20,
};

/** The size that the design must support. */
export const PLANNED: Size = {
  entries: 2_900,
  agents: 10_000,
  controls: 23,
  requestsPerS: 68_000,
  tokensPerS: 24_000_000,
  customers: 200,
  changesPerDay: 17_000,
};

/** Regions of the planned size. */
export const REGIONS = 7;
/** Control instances per region, each region having its own log; 23 are allowed in all. */
export const CONTROLS_PER_REGION = 3;
/** Setting `subset-size`: the targets of each of nine pools that an entry follows. */
const SUBSET_SIZE = 8;
const POOLS = 9;
/** Targets that one entry follows, instead of all. */
export const TARGETS_PER_ENTRY = SUBSET_SIZE * POOLS;

/** The users' limits for the cost of control, per node. */
export const LIMITS = {processorPercent: 3.1, rssMb: 64, bytesPerS: 6_000};

/** A rule file for the planned size. */
export function plannedRules(revision: number): string {
  const pools = Array.from({length: 9}, (_, i) => `model-${i}`);
  const customers = Array.from({length: 200}, (_, i) => `customer-${i}`);
  const zones = Array.from({length: 17}, (_, i) => `zone-${i}`);
  return [
    `revision ${revision}`,
    ...pools.map(pool => `pool ${pool} engine`),
    ...pools.map(pool => `warmup ${pool} start=1 full=8 over=30s`),
    ...pools.map(pool => `limit ${pool} timeout=30s attempts=3`),
    ...pools.map(pool => `route customer=any path=/${pool}/ pool=${pool}`),
    ...customers.map(name => `customer ${name} share=${1 + (revision % 9)}`),
    ...zones.map(zone => `zone ${zone} in`),
  ]
    .map(line => `${line} # asked by operations\n`)
    .join('');
}
