/**
 * Clusters of the log model whose nodes all have a disk: three found the group,
 * and the others may become voters.
 */

import {voterEviction} from '../../src/cluster/voterPolicy';
import type {VoterLimit} from '../../src/control/log/logOptions';
import type {LogInstance} from './logInstance';
import {LogCluster, type LogShape} from './logModel';

const FOUNDERS = 3;
const SETTLE_CHECK_MS = 250;
const SETTLE_TIMEOUT_MS = 120_000;
/** Report period of 300 nodes. */
const REPORT_PERIOD_MS = 900;

/** Shape of a cluster of nodes with disks. */
export interface DiskNodesShape extends Pick<
  LogShape,
  'timing' | 'delayMs' | 'sizes'
> {
  /** Nodes at the start. */
  readonly nodes: number;
  /** Empty machines that may start later; none when absent. */
  readonly spares?: number;
  /** Zone of the node with this index; three zones in turn when absent. */
  readonly zoneAt?: (index: number) => string;
  /** Most voters; unlimited when absent. */
  readonly maxVoters?: number;
  /** Losses of voters that the group bears at the same time; 1 when absent. */
  readonly lossesBorne?: number;
  /** Whether nodes report to the leader outside the log; true when absent. */
  readonly hasReports?: boolean;
}

/** A running cluster of nodes with disks. */
export class DiskNodes {
  readonly cluster: LogCluster;
  /** Nodes that the others no longer know, for example replaced machines. */
  readonly forgotten = new Set<string>();
  /** Nodes that report although their log is not open. */
  readonly withoutLog = new Set<string>();
  private readonly spares: string[];
  private readonly zones: ReadonlyMap<string, string>;
  private maxVoters: number;
  private readonly reportedAt = new Map<string, number>();

  constructor(
    seed: number,
    private readonly shape: DiskNodesShape
  ) {
    this.maxVoters = shape.maxVoters ?? Infinity;
    const {nodes, spares = 0} = shape;
    const {zoneAt = index => 'abc'[index % 3] ?? ''} = shape;
    const ids = Array.from({length: nodes + spares}, (_, i) => nodeId(i));
    this.zones = new Map(ids.map((id, index) => [id, zoneAt(index)]));
    this.cluster = new LogCluster(seed, {
      ids,
      timing: shape.timing,
      delayMs: shape.delayMs,
      sizes: shape.sizes,
      settingsOf: id => ({
        peerIds: () =>
          ids.filter(other => other !== id && !this.forgotten.has(other)),
        founders: ids.slice(0, FOUNDERS),
        voterEviction: voterEviction(shape.lossesBorne ?? 1),
        voterLimit: this.voterLimit(id),
      }),
    });
    this.cluster.endFaults();
    this.spares = ids.slice(nodes);
    for (const id of this.spares) this.remove(id);
  }

  /** The machine and its disk are gone, and the others forget it. */
  remove(id: string): void {
    this.instance(id).wipe();
    this.forgotten.add(id);
  }

  /** Starts the next spare machine with an empty disk, and returns its id. */
  startSpare(): string {
    const id = this.spares.shift();
    if (id === undefined) throw new Error('no spare machine');
    this.forgotten.delete(id);
    this.instance(id).boot(false);
    return id;
  }

  /** As if all nodes were replaced by a version with another limit. */
  setMaxVoters(maxVoters: number): void {
    this.maxVoters = maxVoters;
  }

  zoneOf(id: string): string | undefined {
    return this.forgotten.has(id) ? undefined : this.zones.get(id);
  }

  /** The instance that leads; throws without one. */
  leader(): LogInstance {
    const leader = this.cluster.leader();
    if (leader === undefined) throw new Error('no leader');
    return leader;
  }

  voterIds(): readonly string[] {
    return this.cluster.leader()?.status()?.voterIds ?? [];
  }

  /** Voters by zone. */
  votersByZone(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const id of this.voterIds()) {
      const zone = this.zones.get(id) ?? '';
      counts[zone] = (counts[zone] ?? 0) + 1;
    }
    return counts;
  }

  instance(id: string): LogInstance {
    const instance = this.cluster.instances.get(id);
    if (instance === undefined) throw new Error(`no instance ${id}`);
    return instance;
  }

  advance(ms: number, onStep: () => void = () => undefined): void {
    this.cluster.advance(ms, () => {
      this.report();
      onStep();
    });
  }

  /** Advances until the condition holds and returns the elapsed time. */
  until(condition: () => boolean, timeoutMs = SETTLE_TIMEOUT_MS): number {
    const start = this.cluster.now();
    while (!condition()) {
      if (this.cluster.now() - start >= timeoutMs)
        throw new Error(`condition not met within ${timeoutMs} ms`);
      this.advance(SETTLE_CHECK_MS);
    }
    return this.cluster.now() - start;
  }

  /** Advances until the leader has this number of voters, all committed. */
  untilVoters(count: number): number {
    return this.until(() => {
      const committed = this.cluster.history.configuration.voters.length;
      return this.voterIds().length === count && committed === count;
    });
  }

  /** Commits a change; returns its latency and the messages sent meanwhile. */
  commit(): {readonly tookMs: number; readonly messages: number} {
    const {cluster} = this;
    const {history} = cluster;
    const before = {sent: cluster.sentCount, accepted: history.acceptedCount};
    const start = cluster.now();
    this.leader().propose(cluster.nextHolder());
    while (history.acceptedCount === before.accepted) {
      if (cluster.now() - start > SETTLE_TIMEOUT_MS)
        throw new Error('the change was not committed');
      this.advance(1);
    }
    const tookMs = cluster.now() - start;
    return {tookMs, messages: cluster.sentCount - before.sent};
  }

  /** Messages per second without changes. */
  idleMessagesPerSecond(): number {
    const before = this.cluster.sentCount;
    const seconds = 5;
    this.advance(seconds * 1_000);
    return (this.cluster.sentCount - before) / seconds;
  }

  private report(): void {
    const {cluster, shape} = this;
    if (shape.hasReports === false) return;
    if (cluster.now() % REPORT_PERIOD_MS !== 0) return;
    const leader = cluster.leader();
    if (leader === undefined) return;
    for (const id of cluster.ids)
      if (this.withoutLog.has(id) || cluster.canReach(id, leader.id))
        this.reportedAt.set(`${id}>${leader.id}`, cluster.now());
  }

  private voterLimit(self: string): VoterLimit {
    const maxVoters = () => this.maxVoters;
    return {
      get maxVoters() {
        return maxVoters();
      },
      zoneOf: id => this.zoneOf(id),
      lastReportMs: id => this.reportedAt.get(`${id}>${self}`),
    };
  }
}

/** Id of the node with this index; founders come first in the order of ids. */
function nodeId(index: number): string {
  return `node-${String(index).padStart(3, '0')}`;
}
