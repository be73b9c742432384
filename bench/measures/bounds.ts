/**
 * `bounds`: times promised to operators and callers, on a deployment of real
 * processes: until rules are applied everywhere, until a zone gets no more work,
 * until there is a new leader, and until a wiped instance has recovered.
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

const POLL_INTERVAL_MS = 20;
const WAIT_TIMEOUT_MS = 20_000;
const CALLERS = 8;

/** Upper bounds of the figures, in milliseconds. */
const UPPER_BOUNDS: Figures = {
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
   * Submits a file and waits until every process has reported that it holds it.
   * Processes report with their next poll, which adds up to one poll interval.
   */
  async submit(zonesOut: readonly string[]): Promise<number> {
    const startedAtMs = performance.now();
    await this.accept(zonesOut);
    const isHeldEverywhere = ({processes}: ClusterStatus) =>
      processes.every(({heldRevision}) => heldRevision >= this.revision);
    await this.waitUntil(
      'the file is not in force everywhere',
      isHeldEverywhere
    );
    return performance.now() - startedAtMs;
  }

  /** Milliseconds from the acceptance of a zone out to the end of each later call in the zone. */
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
    await this.waitUntil('there is no new leader', status => {
      const leader = findLeader(status);
      return leader !== undefined && leader !== old;
    });
    const elapsedMs = performance.now() - startedAtMs;
    await this.deployment.restart(old);
    return elapsedMs;
  }

  /** Time from the start of a wiped instance until it is a voter and has caught up. */
  async recoverWiped(): Promise<number> {
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
    await this.waitUntil('the wiped instance is not whole', ({instances}) =>
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

  private async waitUntil(
    failure: string,
    condition: (status: ClusterStatus) => boolean
  ): Promise<void> {
    const startedAtMs = performance.now();
    for (;;) {
      const status = await this.client.status().catch(() => undefined);
      if (status !== undefined && condition(status)) return;
      if (performance.now() - startedAtMs > WAIT_TIMEOUT_MS)
        throw new Error(`${failure} after ${WAIT_TIMEOUT_MS} ms`);
      await delay(POLL_INTERVAL_MS);
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
  const wipedWholeMs = await bounds.recoverWiped();
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
    const exceeded = Object.entries(UPPER_BOUNDS).filter(
      ([name, limit]) => (ours[name] ?? Infinity) > limit
    );
    const cause = exceeded.map(
      ([name]) => `${name} ${Math.round(ours[name]!)}`
    );
    return {
      ours,
      baselines: {mark: UPPER_BOUNDS},
      mark: 'each time within its mark',
      met: exceeded.length === 0,
      cause: exceeded.length === 0 ? undefined : `over: ${cause.join(', ')}`,
    };
  } finally {
    client.close();
    await deployment.stop();
  }
}

/** See the head of this file. */
export const bounds: Measure = {key: 'bounds', run};
