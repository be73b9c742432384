/**
 * A node: the gateway that callers reach, the address for targets and
 * operators, and, with a disk, an instance of the log. One process, since both
 * share what they know, and each process costs its memory on every machine.
 */

import http from 'node:http';
import {Subscription, interval} from 'rxjs';
import type {Logger} from '../core/logger';
import {NodeMetrics} from '../core/nodeMetrics';
import {ClusterNode} from '../cluster/clusterNode';
import {Gateway} from '../gateway/gateway';
import {GatewayServer} from '../gateway/gatewayServer';
import type {CallerCodec} from '../ports/callerPort';
import type {ControlCodec} from '../ports/controlPort';
import type {RankCodec} from '../ports/rankPort';
import type {TargetCodec} from '../ports/targetPort';
import {RankDirector} from '../ranks/rankDirector';
import {relayToRanks} from '../ranks/rankRelay';
import {RELAY_METHOD, RELAY_PARAMS} from '../ranks/relayMessages';
import type {NodeSettings} from '../settings/settings';
import {ControlServer} from './controlServer';
import {serveMetrics} from './metricsServer';

/** The interface of one platform. */
export interface PlatformCodecs {
  readonly callers: CallerCodec;
  readonly targets: TargetCodec;
  readonly control: ControlCodec;
  readonly ranks: RankCodec;
}

/** What a node is started with. */
export interface NodeParts {
  readonly settings: NodeSettings;
  readonly codecs: PlatformCodecs;
  readonly logger: Logger;
  /** Log lines that nobody read in time, since the start. */
  droppedLines(): number;
}

/**
 * Callers are still led here until two looks at the readiness, a second apart,
 * have failed.
 */
const REBALANCE_MS = 3_000;
/** Left of the grace for the end itself. */
const SHUTDOWN_RESERVE_MS = 600;
const MS_PER_S = 1_000;
/**
 * Orders follow each other by answers; this is for what is resent or due. A
 * switch waits for a tick three times, while the group works at half its pace.
 */
const DIRECTOR_TICK_MS = 20;

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
    const {listen, bounds} = settings;
    const metrics = new NodeMetrics();
    let node: ClusterNode | undefined = undefined;
    const gateway = new Gateway({
      callers: codecs.callers,
      targets: codecs.targets,
      availabilityZone: settings.process.availabilityZone,
      logger,
      metrics,
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
      node: () => node,
    });
    node = await ClusterNode.start(clusterOptions(parts, gateway, metrics));
    serveRankRelay(node);
    const callers = new GatewayServer(gateway);
    const control = new ControlServer({node, codec: codecs.control, logger});
    const readyServer = http.createServer();
    const running = new NodeProcess(parts, node, callers, control, readyServer);
    running.watch(metrics, gateway);
    if (listen.metrics !== undefined)
      running.metricsServer = await serveMetrics(metrics, listen.metrics);
    readyServer.on('request', (req, res) => running.tellReady(req, res));
    await callers.listen(listen.callers);
    await control.listen(listen.control);
    await new Promise<void>((resolve, reject) => {
      readyServer.once('error', reject);
      readyServer.listen(listen.ready.port, listen.ready.host, resolve);
    });
    // Callers may reach other nodes only: then their reports tell the pace.
    const paceMs = (service: string, group: string) =>
      gateway.pool(service).paceMs(group, performance.now()) ||
      running.node.paceMs(service, group);
    const director = new RankDirector(
      node,
      codecs.ranks,
      logger,
      metrics,
      paceMs
    );
    node.useOutlook((service, group) =>
      director.outlook(service, group, performance.now())
    );
    running.subscription.add(
      interval(DIRECTOR_TICK_MS).subscribe(() =>
        director.tick(performance.now())
      )
    );
    running.ready = true;
    return running;
  }

  /** Takes over what may change while it runs. */
  reload(settings: NodeSettings): void {
    this.node.setSeeds(settings.cluster.seeds);
  }

  /**
   * First nothing new is led here, then what still comes is turned away, then
   * what is in work ends; the lead goes to another node at once.
   */
  async drain(): Promise<void> {
    const graceMs = this.parts.settings.bounds.graceS * MS_PER_S;
    this.ready = false;
    this.callers.beginDrain();
    await wait(Math.min(REBALANCE_MS, graceMs / 2));
    this.callers.turnAway();
    const leftMs = graceMs - REBALANCE_MS - SHUTDOWN_RESERVE_MS;
    await this.callers.idle(Math.max(0, leftMs));
    this.callers.close();
    this.control.close();
    this.readyServer.close();
    this.metricsServer?.close();
    this.subscription.unsubscribe();
    await this.node.stop();
  }

  private watch(metrics: NodeMetrics, gateway: Gateway): void {
    const {node} = this;
    metrics.watch({
      leads: () => Number(node.leads),
      siteVersion: () => node.view.index?.site.version ?? 0,
      activeNodes: () => node.view.activeNodes,
      droppedLines: this.parts.droppedLines,
      pools: () => gateway.poolGauges(),
    });
  }

  /** Ready means: a request that comes now can be routed. */
  private tellReady(req: http.IncomingMessage, res: http.ServerResponse): void {
    const isKnown = req.url === this.parts.codecs.control.readinessPath;
    const isReady = this.ready && this.node.view.index !== undefined;
    res.statusCode = !isKnown ? 404 : isReady ? 200 : 503;
    res.end();
  }
}

function clusterOptions(
  {settings, codecs, logger}: NodeParts,
  gateway: Gateway,
  metrics: NodeMetrics
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
    heartbeatMs: bounds.heartbeatMs,
    logger,
    metrics,
    decodeSite: codecs.control.decodeSite,
    takeLoads: () => gateway.takeLoads(),
  };
}

function serveRankRelay(node: ClusterNode): void {
  node.serve(RELAY_METHOD, RELAY_PARAMS, params => {
    const records = node.table.records();
    return relayToRanks(params, new Set(records.map(({address}) => address)));
  });
}

function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
