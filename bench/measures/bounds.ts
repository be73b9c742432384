/**
 * Times that operators and callers were promised, on a whole deployment of
 * real processes: rules in force, a zone out, a new leader, a wiped instance.
 */

import {rmSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {connectControl} from '../../src/cli/connectControl';
import type {ClusterStatus, ControlClient} from '../../src/cli/controlClient';
import {chat} from '../deployment/callers';
import {Deployment} from '../deployment/deployment';
import {BUILT_PROGRAMS} from '../deployment/programs';
import {rulesText} from '../deployment/rulesText';
import {SHANNONSIDE, SMALL} from '../deployment/shape';
import type {Figures, Measure, MeasureOptions, MeasureResult} from '../measure';

const LOOK_MS = 20;
const GIVE_UP_MS = 20_000;
const CALLERS = 8;

/** The marks, milliseconds. */
const MARKS: Figures = {
  inForceMaxMs: 2_000,
  zoneOutLastMs: 3_000,
  zoneOutP99Ms: 1_000,
  newLeaderMs: 3_000,
  wipedWholeMs: 10_000,
};

class Bounds {
  private revision = 0;

  constructor(
    private readonly deployment: Deployment,
    private readonly client: ControlClient
  ) {}

  /**
   * Submits and waits until every process has said that it holds the file. A
   * process says so with its next poll, so up to one poll interval is added.
   */
  async submit(zonesOut: readonly string[]): Promise<number> {
    const startedAtMs = performance.now();
    await this.accept(zonesOut);
    const held = ({processes}: ClusterStatus) =>
      processes.every(({heldRevision}) => heldRevision >= this.revision);
    await this.until('the file is not in force everywhere', held);
    return performance.now() - startedAtMs;
  }

  /** Milliseconds from acceptance to the ends of later calls in the zone. */
  async zoneOut(watchMs: number): Promise<readonly number[]> {
    const outZone = this.zone(1);
    const endedAtMs: number[] = [];
    let running = true;
    const loops = Array.from({length: CALLERS}, async (_, i) => {
      const port = this.deployment.entryPort(i % this.deployment.shape.entries);
      while (running) {
        const {target} = await chat(port, `zone ${i}`, 2, false);
        if (this.zoneOf(target) === outZone) endedAtMs.push(performance.now());
      }
    });
    await delay(watchMs / 4);
    await this.accept([outZone]);
    const acceptedAtMs = performance.now();
    await delay(watchMs);
    running = false;
    await Promise.all(loops);
    return endedAtMs
      .map(endedMs => endedMs - acceptedAtMs)
      .filter(afterMs => afterMs > 0);
  }

  async newLeader(): Promise<number> {
    const old = leaderOf(await this.client.status());
    await this.deployment.child(old).end('SIGKILL');
    const startedAtMs = performance.now();
    await this.until('there is no new leader', status => {
      const leader = findLeader(status);
      return leader !== undefined && leader !== old;
    });
    const elapsedMs = performance.now() - startedAtMs;
    await this.deployment.restart(old);
    return elapsedMs;
  }

  /** From the start of an instance with an empty disk to its vote. */
  async wiped(): Promise<number> {
    const status = await this.client.status();
    const leader = leaderOf(status);
    const follower = ['control-0', 'control-1', 'control-2'].find(
      name => name !== leader
    );
    if (follower === undefined) throw new Error('no follower');
    await this.deployment.child(follower).end('SIGKILL');
    rmSync(this.deployment.dataFolder(follower), {recursive: true});
    const {commitIndex = 0} =
      status.instances.find(({instanceId}) => instanceId === leader) ?? {};
    const startedAtMs = performance.now();
    await this.deployment.restart(follower);
    await this.until('the wiped instance is not whole', ({instances}) =>
      instances.some(
        one =>
          one.instanceId === follower &&
          one.voter &&
          one.commitIndex >= commitIndex
      )
    );
    return performance.now() - startedAtMs;
  }

  zone(index: number): string {
    return this.deployment.shape.zones[index] ?? '';
  }

  private zoneOf(targetId: string): string | undefined {
    return this.deployment.targets.find(one => one.targetId === targetId)
      ?.availabilityZone;
  }

  private async accept(zonesOut: readonly string[]): Promise<void> {
    const revision = ++this.revision;
    const answer = await this.client.submit(rulesText({revision, zonesOut}));
    if (answer.kind !== 'accepted')
      throw new Error(`submission answered ${answer.kind}`);
  }

  private async until(
    otherwise: string,
    holds: (status: ClusterStatus) => boolean
  ): Promise<void> {
    const startedAtMs = performance.now();
    for (;;) {
      const status = await this.client.status().catch(() => undefined);
      if (status !== undefined && holds(status)) return;
      if (performance.now() - startedAtMs > GIVE_UP_MS)
        throw new Error(`${otherwise} after ${GIVE_UP_MS} ms`);
      await delay(LOOK_MS);
    }
  }
}

function findLeader({instances}: ClusterStatus): string | undefined {
  return instances.find(({role}) => role === 'leader')?.instanceId;
}

function leaderOf(status: ClusterStatus): string {
  const leader = findLeader(status);
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

function percentile(values: readonly number[], percent: number): number {
  const histogram = build();
  for (const value of values) histogram.recordValue(Math.round(value));
  return histogram.getValueAtPercentile(percent);
}

async function measure(bounds: Bounds, quick: boolean): Promise<Figures> {
  await bounds.submit([]);
  const inForce: number[] = [];
  for (let i = 0; i < (quick ? 2 : 10); i++)
    inForce.push(await bounds.submit(i % 2 === 0 ? [bounds.zone(0)] : []));
  const zoneOut = await bounds.zoneOut(quick ? 1_200 : 6_000);
  const newLeaderMs = await bounds.newLeader();
  const wipedWholeMs = await bounds.wiped();
  return {
    submissions: inForce.length,
    inForceP50Ms: percentile(inForce, 50),
    inForceMaxMs: Math.max(...inForce),
    zoneOutCalls: zoneOut.length,
    zoneOutP99Ms: percentile(zoneOut, 99),
    zoneOutLastMs: Math.max(0, ...zoneOut),
    newLeaderMs,
    wipedWholeMs,
  };
}

async function run({quick}: MeasureOptions): Promise<MeasureResult> {
  const base = quick ? SMALL : SHANNONSIDE;
  const shape = {...base, drainMs: 0, logLevel: 'warn'};
  const deployment = await Deployment.start(BUILT_PROGRAMS, shape);
  const client = connectControl(deployment.clientSettings);
  try {
    const ours = await measure(new Bounds(deployment, client), quick);
    const over = Object.entries(MARKS).filter(
      ([name, most]) => (ours[name] ?? Infinity) > most
    );
    const cause = over.map(([name]) => `${name} ${Math.round(ours[name]!)}`);
    return {
      ours,
      baselines: {mark: MARKS},
      mark: 'each time within its mark',
      met: over.length === 0,
      cause: over.length === 0 ? undefined : `over: ${cause.join(', ')}`,
    };
  } finally {
    client.close();
    await deployment.stop();
  }
}

/** See the module. */
export const bounds: Measure = {key: 'bounds', run};
