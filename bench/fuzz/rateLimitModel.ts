/**
 * Checks the rate limits that targets state against what reaches them: limits that
 * are stated, changed and withdrawn, targets that restart, and nodes and leaders
 * that fail meanwhile.
 */

import type {TimedFault} from './clusterFaults';
import {injectFault, randomFaults} from './clusterFaults';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';
import {SimulatedCluster} from './simulatedCluster';
import type {Arrival, Statement} from './statingTarget';
import {StatingTarget} from './statingTarget';

/** The users' rule: in any window, ratio times the limit and some more. */
const WINDOW_S = 4;
const ALLOWED_RATIO = 1.5;
const ALLOWED_EXTRA = 5;
/** The rule holds this long after the limit was stated. */
const CONTACT_MS = 3_000;
const MS_PER_S = 1_000;
const START_MS = 4_000;
const RUN_MS = 45_000;
const LIMITS = [0, 0.3, 1, 1, 2, 5, 10, 30];

/** A scenario without or with faults. */
export interface RateLimitScenario {
  readonly nodes: number;
  readonly targets: number;
  /** Requests per second for each target, before any limit. */
  readonly ratePerTarget: number;
  readonly statements: readonly Statement[];
  readonly faults: readonly TimedFault[];
  /** When the limited target restarts and states nothing. */
  readonly restartsAtMs?: number;
}

/** Runs a scenario; throws when the limited target gets more than is allowed. */
export function checkRateLimit(
  scenario: RateLimitScenario,
  random: SeededRandom
): void {
  const {nodes, targets, ratePerTarget, statements} = scenario;
  const cluster = new SimulatedCluster(
    {nodes, requestsPerSecond: ratePerTarget * targets},
    random
  );
  const limited = new StatingTarget('t0', 1, 'a0:1', statements);
  cluster.addTarget(limited);
  for (let i = 1; i < targets; i++)
    cluster.addTarget(new StatingTarget(`t${i}`, 1, `a${i}:1`, []));
  for (const {atMs, kind} of scenario.faults)
    cluster.queue.after(atMs, () => injectFault(cluster, kind, nodes, random));
  const {restartsAtMs} = scenario;
  if (restartsAtMs !== undefined)
    cluster.queue.after(restartsAtMs, () =>
      cluster.addTarget(new StatingTarget('t0', 2, 'a0:1', []))
    );
  cluster.queue.runUntil(RUN_MS);
  checkWindows(limited);
}

/** Checks every window that begins with an arrival. */
function checkWindows({id, arrivals, statements}: StatingTarget): void {
  arrivals.forEach(({atMs}, first) => {
    const limit = limitOver(statements, atMs);
    if (limit === undefined) return;
    const allowed = limit * WINDOW_S * ALLOWED_RATIO + ALLOWED_EXTRA;
    const count = countWithin(arrivals, first);
    if (count > allowed)
      throw new Error(
        `${id} stated a limit of ${limit} requests per second and got ${count} ` +
          `in ${WINDOW_S} s from ${Math.round(atMs)} ms on; ${allowed} are allowed`
      );
  });
}

/** Arrivals in the window that begins with the one at index `first`. */
function countWithin(arrivals: readonly Arrival[], first: number): number {
  const startMs = arrivals[first]?.atMs ?? 0;
  const endMs = startMs + WINDOW_S * MS_PER_S;
  let end = first;
  while ((arrivals[end]?.atMs ?? Infinity) <= endMs) end++;
  return end - first;
}

/**
 * Highest limit that nodes may go by in the window from `startMs` on; undefined if
 * a part of it has none.
 */
function limitOver(
  statements: readonly Statement[],
  startMs: number
): number | undefined {
  const endMs = startMs + WINDOW_S * MS_PER_S;
  const inForce = statements.filter(({fromMs}, i) => {
    const nextMs = statements[i + 1]?.fromMs ?? Infinity;
    return fromMs < endMs && nextMs + CONTACT_MS > startMs;
  });
  const firstMs = statements[0]?.fromMs ?? Infinity;
  if (firstMs + CONTACT_MS > startMs) return undefined;
  const limits = inForce.map(({rateLimit}) => rateLimit);
  if (limits.includes(undefined)) return undefined;
  return Math.max(...limits.map(limit => limit ?? 0));
}

function randomScenario(random: SeededRandom): RateLimitScenario {
  const limit = random.pick(LIMITS);
  const changedTo = random.chance(0.5) ? random.pick(LIMITS) : undefined;
  return {
    nodes: random.int(3, 12),
    targets: random.int(2, 6),
    ratePerTarget: Math.min(40, random.int(1, 4) * Math.max(1, limit)),
    statements: [
      {fromMs: START_MS + random.int(0, 3_000), rateLimit: limit},
      {fromMs: random.int(18_000, 26_000), rateLimit: changedTo},
      {fromMs: random.int(34_000, 40_000)},
    ],
    faults: randomFaults(random, 5, START_MS, RUN_MS),
    restartsAtMs: random.chance(0.2) ? random.int(20_000, 40_000) : undefined,
  };
}

/** Checks the rate limits that targets state. */
export const RATE_LIMIT_MODEL: FuzzModel = {
  name: 'rateLimit',
  run(seed) {
    const random = new SeededRandom(seed);
    checkRateLimit(randomScenario(random), random);
  },
};
