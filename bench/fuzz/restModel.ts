/**
 * Checks what targets ask single nodes for against what each node sends: targets that
 * turn requests away and ask for rest, serve again, or leave, while nodes and leaders
 * fail. A leaving target goes on announcing itself as ready, as late announcements do.
 */

import type {TimedFault} from './clusterFaults';
import {injectFault, randomFaults} from './clusterFaults';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';
import {SimulatedCluster} from './simulatedCluster';
import type {Arrival, Statement} from './statingTarget';
import {StatingTarget} from './statingTarget';

/** The users' rule: requests of a node within the rest, from half a second on. */
const ALLOWED = 2;
const GRACE_MS = 500;
/** The users' rule: nothing reaches a target this long after it said that it leaves. */
const DRAIN_MS = 2_000;
const MS_PER_S = 1_000;
const RUN_MS = 40_000;
const RESTS_S = [0.3, 1, 3, 3, 8];

/** A scenario without or with faults. */
export interface RestScenario {
  readonly nodes: number;
  /** Statements by target; none for an empty list. */
  readonly targets: readonly (readonly Statement[])[];
  /** Requests per second for each target. */
  readonly ratePerTarget: number;
  readonly faults: readonly TimedFault[];
}

/** Runs a scenario; throws when a node sends more than is allowed. */
export function checkRests(scenario: RestScenario, random: SeededRandom): void {
  const {nodes, targets: statements, ratePerTarget, faults} = scenario;
  const requestsPerSecond = ratePerTarget * statements.length;
  const cluster = new SimulatedCluster({nodes, requestsPerSecond}, random);
  const targets = statements.map(
    (ofTarget, i) => new StatingTarget(`t${i}`, 1, `a${i}:1`, ofTarget)
  );
  for (const target of targets) cluster.addTarget(target);
  for (const {atMs, kind} of faults)
    cluster.queue.after(atMs, () => injectFault(cluster, kind, nodes, random));
  cluster.queue.runUntil(RUN_MS);
  for (const target of targets) {
    checkRestsOf(target, cluster.disturbances);
    checkLeaving(target, cluster.disturbances);
  }
}

function checkRestsOf(
  {id, arrivals}: StatingTarget,
  disturbances: readonly Pick<Arrival, 'atMs' | 'node'>[]
): void {
  for (const {atMs, node, restMs} of arrivals) {
    if (restMs === undefined) continue;
    const endMs = atMs + restMs;
    const isWithin = (event: Pick<Arrival, 'atMs' | 'node'>, fromMs: number) =>
      event.node === node && event.atMs > fromMs && event.atMs < endMs;
    // A disturbance of the node excuses it.
    if (disturbances.some(event => isWithin(event, atMs))) continue;
    const count = arrivals.filter(arrival =>
      isWithin(arrival, atMs + GRACE_MS)
    ).length;
    if (count > ALLOWED)
      throw new Error(
        `${id} asked ${node} for a rest of ${restMs} ms at ${Math.round(atMs)} ms ` +
          `and got ${count} requests from it; ${ALLOWED} are allowed`
      );
  }
}

function checkLeaving(
  {id, arrivals}: StatingTarget,
  disturbances: readonly Pick<Arrival, 'atMs' | 'node'>[]
): void {
  for (const {atMs, node} of arrivals.filter(({isLeaving}) => isLeaving)) {
    const late = arrivals.find(
      arrival => arrival.node === node && arrival.atMs > atMs + DRAIN_MS
    );
    if (late === undefined) continue;
    const isExcused = disturbances.some(
      event =>
        event.node === node && event.atMs > atMs && event.atMs <= late.atMs
    );
    if (!isExcused)
      throw new Error(
        `${id} told ${node} at ${Math.round(atMs)} ms that it leaves, and got a ` +
          `request from it at ${Math.round(late.atMs)} ms`
      );
  }
}

function randomStatements(random: SeededRandom): readonly Statement[] {
  if (random.chance(0.3)) return [];
  const fromMs = random.int(4_000, 20_000);
  const nextMs = fromMs + random.int(1_000, 12_000);
  if (random.chance(0.3)) return [{fromMs, isLeaving: true}, {fromMs: nextMs}];
  const restMs = random.pick(RESTS_S) * MS_PER_S;
  return [{fromMs, restMs}, {fromMs: nextMs}];
}

/** Checks rests and departures of targets. */
export const REST_MODEL: FuzzModel = {
  name: 'rest',
  run(seed) {
    const random = new SeededRandom(seed);
    const scenario = {
      nodes: random.int(1, 12),
      targets: Array.from({length: random.int(1, 5)}, () =>
        randomStatements(random)
      ),
      ratePerTarget: random.int(1, 12),
      faults: randomFaults(random, 5, 4_000, RUN_MS),
    };
    checkRests(scenario, random);
  },
};
