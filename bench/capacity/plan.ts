/** The sizes that docs/CAPACITY.md works out: today's and the planned one. */

/** Figures of one size; rates are a second. */
export interface Size {
  readonly entries: number;
  readonly agents: number;
  readonly controls: number;
  readonly requestsPerS: number;
  readonly tokensPerS: number;
  readonly customers: number;
  readonly changesPerDay: number;
}

/** Either user today; the rates are what two entries can be given at most. */
export const TODAY: Size = {
  entries: 2,
  agents: 15,
  controls: 3,
  requestsPerS: 50,
  tokensPerS: 2_000,
  customers: 10,
  changesPerDay: 20,
};

/** The size to design for. */
export const PLANNED: Size = {
  entries: 2_900,
  agents: 10_000,
  controls: 23,
  requestsPerS: 68_000,
  tokensPerS: 24_000_000,
  customers: 200,
  changesPerDay: 17_000,
};

/** Regions and zones of the planned size. */
export const REGIONS = 7;
/** Control instances of one region's own log, within the 23 allowed. */
export const CONTROLS_PER_REGION = 3;
/** Setting `subset-size` for nine pools: targets of each that entries follow. */
const SUBSET_SIZE = 8;
const POOLS = 9;
/** Targets that one entry holds in place of all. */
export const SUBSET = SUBSET_SIZE * POOLS;

/** The users' limits for control, a node. */
export const LIMITS = {processorPercent: 3.1, rssMb: 64, bytesPerS: 6_000};

/** A rule file as the planned size would need it. */
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
