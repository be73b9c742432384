/** A gateway with fake targets, all in this process, on loopback. */

import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {CALLER_CODEC} from '../../platform/callerHeaders';
import {TARGET_CODEC} from '../../platform/targetHeaders';
import type {CrashNotices} from '../../src/cluster/crashNotices';
import type {ClusterNode} from '../../src/cluster/clusterNode';
import type {ServiceGrant, ServiceLoad} from '../../src/cluster/messages';
import type {ClusterView} from '../../src/cluster/clusterView';
import {CrashedRequests} from '../../src/cluster/crashedRequests';
import {NodeQuarantine} from '../../src/cluster/nodeQuarantine';
import {TargetPushback} from '../../src/cluster/targetPushback';
import {TargetTable} from '../../src/cluster/targetTable';
import {watchConnection} from '../../src/core/connectionReset';
import {NodeMetrics} from '../../src/core/nodeMetrics';
import {Gateway} from '../../src/gateway/gateway';
import type {HeldByteLimits} from '../../src/gateway/heldBytes';
import {GatewayServer} from '../../src/gateway/gatewayServer';
import type {Inbound, InboundOptions} from '../../src/inbound/inbound';
import {SiteIndex} from '../../src/site/siteIndex';
import type {SiteRoute} from '../../src/site/site';
import {readUntilClosed} from '../fixtures/rawCalls';
import {openInbound} from '../fixtures/openInbound';
import {recordingLogger} from '../fixtures/recordingLogger';
import {eventually} from '../fixtures/testSystem';
import {route} from './testRoute';

/** Handles one request at a fake target. */
export type Handler = (
  req: http.IncomingMessage,
  res: http.ServerResponse
) => void;

const DEFAULT_HELD_BYTES = {perResponse: 1 << 20, total: 32 << 20};

/** A response as the caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether it was complete by its own framing. */
  readonly isWhole: boolean;
}

function listen(server: http.Server): Promise<number> {
  return new Promise(resolve =>
    server.listen(0, '127.0.0.1', () =>
      resolve((server.address() as AddressInfo).port)
    )
  );
}

/** What the gateway learns of the cluster, beside its targets. */
export interface ClusterOverrides {
  /** Priority of the route `once`; another one than 1 makes the service prioritized. */
  readonly oncePriority?: number;
  readonly grant?: Partial<ServiceGrant>;
  /** Notifies another node of crashes; there is none by default. */
  readonly notifyPeer?: (notices: CrashNotices) => Promise<void>;
  readonly heldBytes?: HeldByteLimits;
  /** Limits of the machine and of connections. */
  readonly inbound?: Partial<InboundOptions>;
  /** Whether a leader confirms the site document; true by default. */
  readonly isConfirmed?: boolean;
}

/** One gateway and its targets. */
export class GatewayFixture {
  readonly receivedRequests: {
    target: number;
    headers: http.IncomingHttpHeaders;
  }[] = [];
  readonly table = new TargetTable();
  readonly pushback: TargetPushback;
  readonly quarantine = new NodeQuarantine();
  readonly crashedRequests: CrashedRequests;
  /** What the gateway logs. */
  readonly log = recordingLogger();
  private readonly metrics = new NodeMetrics();
  private readonly inbound: Inbound;
  private readonly servers: http.Server[] = [];
  private gateway: Gateway | undefined;
  private server: GatewayServer | undefined;
  private port = 0;
  private nextId = 0;

  private constructor(private readonly cluster: ClusterOverrides) {
    const {metrics} = this;
    this.inbound = openInbound({...cluster.inbound, logger: this.log.logger});
    this.crashedRequests = new CrashedRequests({
      logger: this.log.logger,
      nowMs: () => performance.now(),
      random: Math.random,
      peers: () => (cluster.notifyPeer === undefined ? [] : ['peer']),
      send: async (_ip, notices) => {
        await cluster.notifyPeer?.(notices);
        return {notices: []};
      },
    });
    this.pushback = new TargetPushback(this.table, {
      logger: this.log.logger,
      metrics,
      readNotice: TARGET_CODEC.readNotice,
      nodeIds: () => ({self: 'node', all: ['node']}),
    });
  }

  static async start(
    handlers: readonly Handler[],
    routeOverrides: Partial<SiteRoute> = {},
    cluster: ClusterOverrides = {}
  ): Promise<GatewayFixture> {
    const fixture = new GatewayFixture(cluster);
    for (const [target, handler] of handlers.entries())
      await fixture.addTarget(target, handler);
    await fixture.startGateway(routeOverrides);
    return fixture;
  }

  /** Announces a target at whose address nobody listens. */
  addUnreachableTarget(): void {
    this.announce('dead', '127.0.0.1:1');
  }

  /** Loads for the report to the leader. */
  takeLoads(): readonly ServiceLoad[] {
    return this.gateway?.takeLoads() ?? [];
  }

  /** The metrics in the exposition format. */
  metricsText(): Promise<string> {
    const zero = () => 0;
    this.metrics.registerGauges({
      isLeader: zero,
      siteVersion: zero,
      siteAgeMs: zero,
      activeNodes: zero,
      droppedLines: zero,
      heldBytes: () => this.heldBytes,
      requestBytes: () => this.inbound.memory.heldBytes,
      connections: () => this.inbound.connectionCounts(),
      pools: () => this.gateway?.poolGauges() ?? [],
    });
    return this.metrics.text();
  }

  /** Requests that entered the queue since the last call. */
  arrivals(): number {
    return this.takeLoads().reduce((sum, load) => sum + load.arrivals, 0);
  }

  /** Resolves when no response is in progress, or after `ms`. */
  waitUntilIdle(ms: number): Promise<void> | undefined {
    return this.server?.waitUntilIdle(ms);
  }

  /** Aborts the responses in progress, as at the end of the process. */
  abortResponses(): void {
    this.server?.abortResponses();
  }

  /** Ends a target as a crash of its process does: all connections at once. */
  crash(target: number): void {
    this.servers[target]?.close();
    this.servers[target]?.closeAllConnections();
  }

  /** Bytes of responses that the gateway holds. */
  get heldBytes(): number {
    return this.gateway?.heldBytes.total ?? 0;
  }

  /** Resolves once a value stays the same for a while. */
  async untilStill(read: () => number): Promise<void> {
    let last = -1;
    await eventually('no change', async () => {
      const isSame = read() === last && last > 0;
      last = read();
      return isSame;
    });
  }

  /** Sends requests at once, and reads nothing of their responses. */
  async openSlowly(path: string, count = 1): Promise<net.Socket> {
    const socket = net.connect(this.port, '127.0.0.1');
    await once(socket, 'connect');
    socket.pause();
    const head = `POST ${path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key\r\n`;
    for (let i = 0; i < count; i++)
      socket.write(
        `${head}X-Attempt-Id: a${this.nextId++}\r\nContent-Length: 0\r\n\r\n`
      );
    return socket;
  }

  /** Closes all connections of the targets. */
  closeTargets(): void {
    for (const server of this.servers) server.closeAllConnections();
  }

  async close(): Promise<void> {
    this.abortResponses();
    this.server?.close();
    for (const server of this.servers.filter(({listening}) => listening)) {
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    }
  }

  /**
   * Sends a POST request as a caller; `headers` override those sent by default. The
   * caller leaves, and the promise rejects, when `signal` aborts.
   */
  call(
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body = 'question',
    onData?: () => void,
    signal?: AbortSignal
  ): Promise<CallerResponse> {
    return new Promise((resolve, reject) => {
      const req = http.request(
        {
          host: '127.0.0.1',
          port: this.port,
          path,
          method: 'POST',
          agent: false,
          signal,
          headers: {
            host: 'a.example',
            'x-attempt-id': `a${this.nextId++}`,
            authorization: 'Bearer key',
            ...headers,
          },
        },
        res => {
          req.off('error', reject);
          let body = '';
          const end = (isWhole: boolean) =>
            resolve({
              status: res.statusCode ?? 0,
              headers: res.headers,
              body,
              isWhole,
            });
          res.on('data', chunk => {
            body += String(chunk);
            onData?.();
          });
          res.on('error', () => end(false));
          res.on('close', () =>
            end(res.complete && connection.error === undefined)
          );
        }
      );
      const connection = watchConnection(req);
      req.on('error', reject);
      req.end(body);
    });
  }

  /** Sends a POST request without a body as an HTTP/1.0 caller, who reads to the end. */
  callByHttp10(path: string) {
    return this.callRaw(`POST ${path} HTTP/1.0`, ['Content-Length: 0']);
  }

  /** Sends a request as these bytes, then `laterBytes` once it resolves, and reads until the connection closes. */
  callRaw(
    requestLine: string,
    headers: readonly string[] = [],
    body = '',
    laterBytes?: Promise<string>
  ) {
    const lines = [
      requestLine,
      'Host: a.example',
      `X-Attempt-Id: a${this.nextId++}`,
      'Authorization: Bearer key',
      ...headers,
    ];
    const bytes = `${lines.join('\r\n')}\r\n\r\n${body}`;
    return readUntilClosed(this.port, bytes, laterBytes);
  }

  private async addTarget(target: number, handler: Handler): Promise<void> {
    const server = http.createServer((req, res) => {
      this.receivedRequests.push({target, headers: req.headers});
      req.resume();
      res.setHeader('x-attempt-id', req.headers['x-attempt-id'] ?? '');
      res.setHeader('x-response-seal', `seal-${target}`);
      handler(req, res);
    });
    this.servers.push(server);
    this.announce(`t${target}`, `127.0.0.1:${await listen(server)}`);
  }

  private announce(id: string, address: string): void {
    this.table.merge(
      {
        id,
        bornMs: 1,
        sequence: 1,
        service: 's',
        address,
        availabilityZone: 'a',
        slots: 8,
        state: 'ready',
        coldMs: 0,
      },
      0
    );
  }

  private async startGateway(
    routeOverrides: Partial<SiteRoute>
  ): Promise<void> {
    const index = new SiteIndex({
      version: 1,
      routes: [
        route('idempotent', routeOverrides),
        route('once', {
          ...routeOverrides,
          priority: this.cluster.oncePriority ?? 1,
        }),
        route('stream', routeOverrides),
      ],
      services: new Map([
        [
          's',
          {
            name: 's',
            healthPath: '/',
            maxConnections: 100,
            coldRequestsPerSecond: 0,
          },
        ],
      ]),
      limits: {
        maxHeaderBytes: 10_000,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
      },
      customers: [{name: 'one', keys: ['key']}],
    });
    const grant = {
      service: 's',
      concurrency: 10,
      free: 0,
      shiftSkews: {},
      ...this.cluster.grant,
    };
    const view: ClusterView = {
      index,
      confirmedAtMs: this.cluster.isConfirmed === false ? -Infinity : Infinity,
      zonesOut: new Set(),
      grants: new Map([['s', grant]]),
      activeNodes: 1,
    };
    const {table, pushback, quarantine, crashedRequests, metrics} = this;
    const state = {view, table, pushback, quarantine, crashedRequests};
    const node = state as unknown as ClusterNode;
    this.gateway = new Gateway({
      callers: CALLER_CODEC,
      targets: TARGET_CODEC,
      bounds: {
        nodeId: 'node',
        retries: {ratio: 0.2, slack: 50, windowMs: 10_000},
        coldMultiplier: 1.5,
        coldSlack: 5,
      },
      availabilityZone: 'a',
      maxSiteAgeMs: 1_900,
      heldBytes: this.cluster.heldBytes ?? DEFAULT_HELD_BYTES,
      memory: this.inbound.memory,
      logger: this.log.logger,
      metrics,
      random: Math.random,
      node: () => node,
    });
    this.server = new GatewayServer(this.gateway, this.inbound);
    this.port = await this.server.listen({host: '127.0.0.1', port: 0});
  }
}
