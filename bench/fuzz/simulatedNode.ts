/**
 * A node without I/O: the code of a gateway and of both sides of a report, in
 * virtual time. A restart replaces it by a new one.
 */

import type {IncomingMessage} from 'node:http';
import {Coordinator} from '../../src/cluster/coordinator';
import type {NodeInfo, SyncParams, SyncState} from '../../src/cluster/messages';
import type {ReplicatedView} from '../../src/cluster/coordinator';
import type {ClusterNode} from '../../src/cluster/clusterNode';
import {NodeDirectory} from '../../src/cluster/nodeDirectory';
import {NodeQuarantine} from '../../src/cluster/nodeQuarantine';
import {NodeSync} from '../../src/cluster/nodeSync';
import {TargetPushback} from '../../src/cluster/targetPushback';
import {TargetTable} from '../../src/cluster/targetTable';
import {unreachable} from '../../src/core/errors';
import type {Logger} from '../../src/core/logger';
import {NodeMetrics} from '../../src/core/nodeMetrics';
import {MemoryAccount} from '../../src/inbound/memoryAccount';
import {Gateway} from '../../src/gateway/gateway';
import type {TargetRecord} from '../../src/site/announcement';
import type {Site, SiteService} from '../../src/site/site';
import type {TargetNotice} from '../../src/site/targetNotice';

/** The only service. */
export const SERVICE: SiteService = {
  name: 's',
  healthPath: '/',
  maxConnections: 100,
  coldRequestsPerSecond: 0,
};

/** A site with this service only. */
export const SIMULATED_SITE: Site = {
  version: 1,
  routes: [],
  services: new Map([[SERVICE.name, SERVICE]]),
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
  customers: [],
};
const ignore = () => undefined;
const LOGGER = {
  trace: ignore,
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
  fatal: ignore,
} as unknown as Logger;
const METRICS = new NodeMetrics();
const SILENT_AFTER_MS = 4_200;
const MAX_SITE_AGE_MS = 1_900;
/** Longest wait in the queue, and its priority, of all requests. */
const QUEUED = {urgency: {customer: 1, route: 1}, maxWaitMs: 200};

/** One boot of a node. */
export class SimulatedNode {
  readonly table = new TargetTable();
  readonly pushback: TargetPushback;
  readonly quarantine = new NodeQuarantine();
  readonly sync: NodeSync;
  readonly directory: NodeDirectory;
  readonly gateway: Gateway;
  private readonly coordinator: Coordinator;

  constructor(
    readonly info: NodeInfo,
    private readonly nowMs: () => number,
    random: () => number
  ) {
    this.directory = new NodeDirectory(info, [], () => ({}) as never, nowMs);
    this.pushback = new TargetPushback(this.table, {
      logger: LOGGER,
      metrics: METRICS,
      readNotice: res => res as unknown as TargetNotice,
      nodeIds: () => this.directory.addresses(),
    });
    this.gateway = new Gateway({
      callers: {} as never,
      targets: {} as never,
      bounds: {
        nodeId: info.ip,
        retries: {ratio: 0.2, slack: 50, windowMs: 10_000},
        coldMultiplier: 1.5,
        coldSlack: 5,
      },
      maxSiteAgeMs: MAX_SITE_AGE_MS,
      availabilityZone: info.availabilityZone ?? '',
      logger: LOGGER,
      metrics: METRICS,
      heldBytes: {perResponse: 0, total: 0},
      memory: new MemoryAccount(0),
      random,
      node: () => this as unknown as ClusterNode,
    });
    this.sync = new NodeSync({
      nodes: this.directory,
      table: this.table,
      pushback: this.pushback,
      quarantine: this.quarantine,
      logger: LOGGER,
      maxSiteAgeMs: MAX_SITE_AGE_MS,
      decodeSite: () => ({ok: true, site: SIMULATED_SITE}),
      takeLoads: () => this.gateway.takeLoads(),
    });
    this.coordinator = new Coordinator(
      this.table,
      LOGGER,
      nowMs,
      SILENT_AFTER_MS,
      ignore
    );
  }

  /** As in ClusterNode, for the gateway. */
  get view() {
    return this.sync.view;
  }

  /** Admits a request; `start` is called once it may be sent. */
  enter(start: () => void): void {
    const pool = this.gateway.pool(SERVICE.name);
    pool.noteArrival();
    pool.queue.enter({...QUEUED, start, refuse: ignore}, this.nowMs());
  }

  /** Ends a request that was admitted. */
  leave(heldMs: number): void {
    this.gateway.pool(SERVICE.name).queue.leave(heldMs);
  }

  /**
   * The target of an admitted request, which counts as sent; otherwise whether the
   * request may wait for a token.
   */
  send(tried: ReadonlySet<string>): TargetRecord | 'wait' | 'refuse' {
    const {gateway} = this;
    const {view} = gateway;
    if (view?.index === undefined) return 'refuse';
    const nowMs = this.nowMs();
    const pool = gateway.pool(SERVICE.name);
    const choice = pool.choose(
      gateway.choiceInput(SERVICE, view, tried, nowMs)
    );
    switch (choice.kind) {
      case 'none':
      case 'atRest':
        return 'refuse';
      case 'needsToken':
        this.pushback.noteShortage(choice.target);
        return 'wait';
      case 'target':
        pool.begin(choice.target.id, nowMs);
        this.pushback.noteRequest(choice.target, nowMs);
        return choice.target;
      default:
        return unreachable(choice);
    }
  }

  /** Takes the response to a request that was sent at `sentAtMs`. */
  receive(target: TargetRecord, notice: TargetNotice, sentAtMs: number): void {
    const nowMs = this.nowMs();
    const pool = this.gateway.pool(SERVICE.name);
    const res = notice as unknown as IncomingMessage;
    this.pushback.noteResponse(target, {res, sentAtMs}, nowMs);
    const latencyMs = nowMs - sentAtMs;
    const isServed = notice.restMs === undefined;
    pool.noteAttempt(
      target.id,
      isServed ? {kind: 'good', latencyMs} : {kind: 'full'},
      nowMs
    );
    pool.done(target.id);
  }

  /** Starts to lead. */
  lead(): void {
    this.coordinator.reset();
  }

  /** Handles a report as the leader. */
  handleReport(params: SyncParams, replicated: ReplicatedView): SyncState {
    const {directory} = this;
    directory.markSeen([params.from]);
    return this.coordinator.sync(params, replicated, this.sync.site, directory);
  }
}
