/**
 * A node: the gateway for callers, the control address for targets and
 * operators, and, with a disk, a replica of the log. It is one process, because
 * these parts share their state, and a second process would cost memory on
 * every machine.
 */

import http from 'node:http';
import {Subscription, interval} from 'rxjs';
import type {Logger} from '../core/logger';
import {NodeMetrics} from '../core/nodeMetrics';
import {ClusterNode} from '../cluster/clusterNode';
import {Gateway} from '../gateway/gateway';
import {GatewayServer} from '../gateway/gatewayServer';
import {Inbound} from '../inbound/inbound';
import {machineOf} from '../inbound/machine';
import {QUICK_REQUEST_TIMEOUTS} from '../inbound/quickRequests';
import type {CallerCodec} from '../ports/callerPort';
import type {ControlCodec} from '../ports/controlPort';
import type {RankCodec} from '../ports/rankPort';
import type {TargetCodec} from '../ports/targetPort';
import {GroupControllerManager} from '../ranks/groupControllerManager';
import {relayToRanks} from '../ranks/rankRelay';
import {RELAY_METHOD, RELAY_PARAMS} from '../ranks/relayMessages';
import {maxSiteAgeMs} from '../policy/siteAge';
import type {NodeSettings} from '../settings/settings';
import {ControlServer} from './controlServer';
import {serveMetrics} from './metricsServer';

/** Codecs for the interfaces of one platform. */
export interface PlatformCodecs {
  readonly callers: CallerCodec;
  readonly targets: TargetCodec;
  readonly control: ControlCodec;
  readonly ranks: RankCodec;
}

/** Dependencies and settings of a node. */
export interface NodeParts {
  readonly settings: NodeSettings;
  readonly codecs: PlatformCodecs;
  readonly logger: Logger;
  /** Log lines dropped since the start because the output was read too slowly. */
  droppedLines(): number;
}

/**
 * The platform sends callers to other nodes only after two readiness probes, a
 * second apart, have failed.
 */
const READINESS_PROPAGATION_MS = 3_000;
/** Part of the grace period that is kept for the shutdown after the drain. */
const SHUTDOWN_RESERVE_MS = 600;
/** Of that, the time for the last answers to be written. */
const LAST_ANSWERS_MS = 200;
const MS_PER_S = 1_000;
const BYTES_PER_KIB = 1_024;
/**
 * Most orders to ranks follow directly from a reply; the tick covers those that
 * are resent or become due. A map switch waits for a tick three times, while
 * the group runs at half its speed.
 */
const RANK_DIRECTOR_INTERVAL_MS = 20;

/** A running node. */
export class NodeProcess {
  private ready = false;
  private metricsServer: http.Server | undefined;
  private readonly subscription = new Subscription();

  private constructor(
    private readonly parts: NodeParts,
    private readonly node: ClusterNode,
    private readonly callers: GatewayServer,
    private readonly control: ControlServer,
    private readonly readyServer: http.Server
  ) {}

  static async start(parts: NodeParts): Promise<NodeProcess> {
    const {settings, codecs, logger} = parts;
    const {listen} = settings;
    const metrics = new NodeMetrics();
    const inbound = createInbound(parts, metrics);
    let node: ClusterNode | undefined = undefined;
    const gateway = createGateway(parts, metrics, inbound, () => node);
    node = await ClusterNode.start(
      clusterOptions(parts, gateway, metrics, inbound)
    );
    serveRankRelay(node);
    const callers = new GatewayServer(gateway, inbound);
    const control = new ControlServer({
      node,
      codec: codecs.control,
      inbound,
      logger,
    });
    const readyServer = http.createServer(QUICK_REQUEST_TIMEOUTS);
    const running = new NodeProcess(parts, node, callers, control, readyServer);
    running.registerGauges(metrics, gateway, inbound);
    if (listen.metrics !== undefined)
      running.metricsServer = await serveMetrics(
        metrics,
        inbound,
        listen.metrics
      );
    inbound
      .guard('ready', (req, res) => running.serveReady(req, res))
      .attach(readyServer);
    await callers.listen(listen.callers);
    await control.listen(listen.control);
    await new Promise<void>((resolve, reject) => {
      readyServer.once('error', reject);
      readyServer.listen(listen.ready.port, listen.ready.host, resolve);
    });
    // Without streams at this node, the pass duration comes from the reports of
    // the other nodes.
    const passDurationMs = (service: string, group: string) =>
      gateway.pool(service).passDurationMs(group, performance.now()) ||
      running.node.passMs(service, group);
    const director = new GroupControllerManager(
      node,
      codecs.ranks,
      logger,
      metrics,
      passDurationMs
    );
    node.setOutlookSource((service, group) =>
      director.outlook(service, group, performance.now())
    );
    running.subscription.add(
      interval(RANK_DIRECTOR_INTERVAL_MS).subscribe(() =>
        director.tick(performance.now())
      )
    );
    running.ready = true;
    return running;
  }

  /** Applies the settings that may change at run time: the seeds. */
  reload(settings: NodeSettings): void {
    this.node.setSeeds(settings.cluster.seeds);
  }

  /**
   * Fails the readiness probes until callers are sent elsewhere, and takes what can end
   * in time; then refuses new requests, waits for those in progress, and answers what is
   * left of them. A leader then hands leadership over at once.
   */
  async drain(): Promise<void> {
    const graceMs = this.parts.settings.bounds.graceS * MS_PER_S;
    const takeMs = Math.min(READINESS_PROPAGATION_MS, graceMs / 2);
    const drainMs = Math.max(takeMs, graceMs - SHUTDOWN_RESERVE_MS);
    this.ready = false;
    this.callers.beginDrain(drainMs);
    await delay(takeMs);
    this.callers.refuseNewRequests();
    await this.callers.waitUntilIdle(drainMs - takeMs);
    await this.callers.endRequests(LAST_ANSWERS_MS);
    this.callers.close();
    this.control.close();
    this.readyServer.close();
    this.metricsServer?.close();
    this.subscription.unsubscribe();
    await this.node.stop();
    this.callers.abortResponses();
  }

  private registerGauges(
    metrics: NodeMetrics,
    gateway: Gateway,
    inbound: Inbound
  ): void {
    const {node} = this;
    metrics.registerGauges({
      isLeader: () => Number(node.leads),
      siteVersion: () => node.view.index?.site.version ?? 0,
      siteAgeMs: () => performance.now() - (node.view.confirmedAtMs ?? NaN),
      activeNodes: () => node.view.activeNodes,
      droppedLines: this.parts.droppedLines,
      heldBytes: () => gateway.heldBytes.total,
      requestBytes: () => inbound.memory.heldBytes,
      connections: () => inbound.connectionCounts(),
      pools: () => gateway.poolGauges(),
    });
  }

  /** Ready means that a request can be routed now. */
  private serveReady(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): void {
    const isReadinessPath = req.url === this.parts.codecs.control.readinessPath;
    const isReady = this.ready && this.node.view.index !== undefined;
    res.statusCode = !isReadinessPath ? 404 : isReady ? 200 : 503;
    res.end();
  }
}

function createInbound(
  {settings, logger}: NodeParts,
  metrics: NodeMetrics
): Inbound {
  const {machine} = settings;
  return new Inbound({
    machine: machineOf(machine),
    requestsPerConnection: machine.requestsPerConnection,
    logger,
    countLimited: (port, reason) => metrics.clientLimited(port, reason),
  });
}

function createGateway(
  {settings, codecs, logger}: NodeParts,
  metrics: NodeMetrics,
  {memory}: Inbound,
  node: () => ClusterNode | undefined
): Gateway {
  const {bounds} = settings;
  return new Gateway({
    callers: codecs.callers,
    targets: codecs.targets,
    availabilityZone: settings.process.availabilityZone,
    logger,
    metrics,
    maxSiteAgeMs: maxSiteAgeMs(bounds.applyMs),
    bounds: {
      nodeId: settings.process.host,
      retries: {
        ratio: bounds.retryRatio,
        slack: bounds.retrySlack,
        windowMs: bounds.retryWindowS * MS_PER_S,
      },
      coldMultiplier: bounds.coldMultiplier,
      coldSlack: bounds.coldSlack,
    },
    heldBytes: {
      perResponse: bounds.heldResponseKb * BYTES_PER_KIB,
      total: bounds.heldTotalKb * BYTES_PER_KIB,
    },
    memory,
    random: Math.random,
    node,
  });
}

function clusterOptions(
  {settings, codecs, logger}: NodeParts,
  gateway: Gateway,
  metrics: NodeMetrics,
  inbound: Inbound
) {
  const {cluster, bounds} = settings;
  return {
    self: {
      ip: settings.process.host,
      hasDisk: cluster.dataFolder !== '',
      availabilityZone: settings.process.availabilityZone,
    },
    port: cluster.port,
    seeds: cluster.seeds,
    dataDir: cluster.dataFolder,
    isFirstStart: cluster.firstStart === 'true',
    lossesBorne: cluster.lossesBorne,
    admissionFloor: bounds.admissionFloor,
    heartbeatMs: bounds.heartbeatMs,
    maxSiteAgeMs: maxSiteAgeMs(bounds.applyMs),
    logger,
    metrics,
    inbound,
    decodeSite: codecs.control.decodeSite,
    readNotice: codecs.targets.readNotice,
    takeLoads: () => gateway.takeLoads(),
  };
}

function serveRankRelay(node: ClusterNode): void {
  node.serve(RELAY_METHOD, RELAY_PARAMS, params => {
    const records = node.table.records();
    const addresses = new Set(records.map(({address}) => address));
    return relayToRanks(params, addresses, (address, response) =>
      node.pushback.noteRankResponse(address, response, performance.now())
    );
  });
}

function delay(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
