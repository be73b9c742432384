/**
 * A node as a member of the cluster: it knows the other nodes, the replicated
 * state, the targets, and the concurrency granted to it. `view` and `table` hold
 * all that a gateway needs, also while no other node can be reached.
 */

import {Subscription, defer, interval, repeat, timer} from 'rxjs';
import type {Site} from '../site/site';
import type {DepartureCommand} from '../control/state/command';
import type {TargetAnnouncement, TargetRecord} from '../site/announcement';
import {unpackText} from '../site/packText';
import type {MapOutlook} from '../policy/mapOutlook';
import {reportPeriodMs} from '../policy/reportPeriod';
import type {ClusterNodeOptions} from './clusterNodeOptions';
import type {ClusterView} from './clusterView';
import {LogReplica} from './logReplica';
import {Coordinator} from './coordinator';
import {connectCrashedRequests} from './connectCrashedRequests';
import type {CrashedRequests} from './crashedRequests';
import {keepCrashedRequests} from './crashedRequestsFile';
import {LeaderService} from './leaderService';
import {findFounders} from './findFounders';
import {unpackRecords} from './packedRecords';
import {PeerCatchUp} from './peerCatchUp';
import {PeerDiscovery} from './peerDiscovery';
import {LeaderClient} from './leaderClient';
import type {
  HelloReply,
  NodeInfo,
  ProposedCommand,
  ProposalEnd,
} from './messages';
import {
  NODE_METHODS,
  PROPOSE_REPLY,
  READ_SITE_REPLY,
  SYNC_REPLY,
} from './messages';
import {NodeDirectory} from './nodeDirectory';
import {serveNodeMethods} from './nodeMethods';
import {NodeQuarantine} from './nodeQuarantine';
import {NodeSync} from './nodeSync';
import {keepQuarantine} from './quarantineFile';
import type {QuarantineChange} from './quarantineMessages';
import {QUARANTINE_CHANGE_REPLY} from './quarantineMessages';
import {RpcClient} from './rpcClient';
import {RpcServer} from './rpcServer';
import {TargetPushback} from './targetPushback';
import {TargetTable} from './targetTable';
import type * as z from 'zod';

/** After this long, the next report is worth as much as a late reply. */
const SYNC_TIMEOUT_MS = 700;
const LOG_TIMEOUT_MS = 1_000;
/** Interval of the check that the leader still confirms the document. */
const CONFIRMATION_CHECK_INTERVAL_MS = 200;
/** Delay before a log that could not be opened is tried again. */
const OPEN_RETRY_MS = 400;
/** A commit waits for two disk syncs, which may be slow. */
const PROPOSE_TIMEOUT_MS = 2_500;
const READ_TIMEOUT_MS = 1_500;
/**
 * Heartbeat periods without an announcement after which a target counts as
 * silent; includes time for one that is late.
 */
const SILENT_AFTER_HEARTBEATS = 3.5;

const nowMs = () => performance.now();

/** A running node. */
export class ClusterNode {
  readonly table = new TargetTable(({id, bornMs}) =>
    this.replica?.current?.state.departures.find(id, bornMs)
  );
  readonly pushback: TargetPushback;
  readonly quarantine = new NodeQuarantine();
  readonly crashedRequests: CrashedRequests;
  private readonly reports: NodeSync;
  private readonly leaderService: LeaderService;
  private readonly coordinator: Coordinator;
  private readonly rpc: RpcClient;
  private readonly server: RpcServer;
  private readonly directory: NodeDirectory;
  private readonly leaderClient: LeaderClient;
  private readonly peerDiscovery: PeerDiscovery;
  private readonly subscription = new Subscription();
  private replica: LogReplica | undefined;
  private syncStartedAtMs = -Infinity;
  private outlookOf: (
    service: string,
    group: string
  ) => MapOutlook | undefined = () => undefined;

  private constructor(private readonly options: ClusterNodeOptions) {
    const {self, port, seeds, logger, heartbeatMs} = options;
    this.pushback = new TargetPushback(this.table, {
      ...options,
      nodeIds: () => this.directory.addresses(),
    });
    this.rpc = new RpcClient(port);
    this.server = new RpcServer(logger, options.inbound);
    this.directory = new NodeDirectory(
      self,
      seeds,
      ip => ({
        id: ip,
        send: message =>
          this.rpc.call(ip, NODE_METHODS.log, {message}, LOG_TIMEOUT_MS),
      }),
      nowMs
    );
    const {rpc, table, pushback, quarantine, directory: nodes} = this;
    this.crashedRequests = connectCrashedRequests(rpc, nodes, logger);
    const shared = {nodes, table, pushback, quarantine};
    this.reports = new NodeSync({...options, ...shared});
    const catchUp = new PeerCatchUp(this.reports, rpc, logger);
    const onHello = (ip: string, {committed}: HelloReply) => {
      if (committed !== undefined) void catchUp.handleOffer(ip, committed);
    };
    this.peerDiscovery = new PeerDiscovery(nodes, rpc, logger, onHello);
    this.leaderClient = new LeaderClient({
      rpc: this.rpc,
      directory: this.directory,
      logger,
      metrics: options.metrics,
      leaderFromLog: () => this.replica?.leader,
      nowMs,
    });
    this.coordinator = new Coordinator(
      this.table,
      logger,
      nowMs,
      heartbeatMs * SILENT_AFTER_HEARTBEATS,
      (service, group) => this.outlookOf(service, group),
      options.admissionFloor
    );
    options.metrics.registerCustomerGauges(() =>
      this.leads ? this.coordinator.admission.customerWork() : []
    );
    this.leaderService = new LeaderService({
      replica: () => this.replica,
      directory: this.directory,
      coordinator: this.coordinator,
      site: () => this.reports.site,
      leader: () => this.leaderClient.leader,
      logger,
      nowMs,
    });
  }

  static async start(options: ClusterNodeOptions): Promise<ClusterNode> {
    const node = new ClusterNode(options);
    serveNodeMethods(node.server, {
      directory: node.directory,
      leaderClient: node.leaderClient,
      leaderService: node.leaderService,
      committed: node.reports,
      crashedRequests: node.crashedRequests,
      replica: () => node.replica,
    });
    await node.server.listen(options.self.ip, options.port);
    node.subscription.add(
      defer(() => node.sync())
        .pipe(repeat({delay: () => timer(node.syncDelayMs)}))
        .subscribe()
    );
    node.subscription.add(
      interval(CONFIRMATION_CHECK_INTERVAL_MS).subscribe(() =>
        node.reports.checkConfirmation(node.knowsLeader, performance.now())
      )
    );
    if (options.self.hasDisk) {
      const {dataDir, logger} = options;
      await keepQuarantine(dataDir, node.quarantine, logger);
      await keepCrashedRequests(dataDir, node.crashedRequests, logger);
      void node.joinLog();
    }
    return node;
  }

  get view(): ClusterView {
    return this.reports.view;
  }

  /** Whether this node leads and has applied all earlier commits. */
  get leads(): boolean {
    return this.leaderService.isCaughtUp;
  }

  /** Whether a leader is known; it may be this node. */
  get knowsLeader(): boolean {
    return this.leaderClient.leader !== undefined;
  }

  /** Term in which this node leads. */
  get term(): number {
    return this.leaderService.term;
  }

  /** On the leader: median pass duration of a group; 0 when no stream runs. */
  passMs(service: string, group: string): number {
    return this.coordinator.passMs(service, group);
  }

  /** On the leader: running requests of all nodes in a group. */
  runningRequests(service: string, group: string): number {
    return this.coordinator.runningRequests(service, group);
  }

  /** On the leader: other nodes with a recent report. */
  recentNodes(): readonly NodeInfo[] {
    const {self} = this.options;
    return this.coordinator.recentNodes().filter(({ip}) => ip !== self.ip);
  }

  /** Registers an RPC method; its parameters are validated by the schema. */
  serve<T>(
    method: string,
    schema: z.ZodType<T>,
    handle: (params: T) => Promise<unknown>
  ): void {
    this.server.addMethod(method, schema, handle);
  }

  /** Calls an RPC method of another node; the caller validates the result. */
  callNode(
    ip: string,
    method: string,
    params: unknown,
    timeoutMs: number
  ): Promise<unknown> {
    return this.rpc.call(ip, method, params, timeoutMs);
  }

  /** Notes a call to the rank at this address, also one that a relay makes. */
  noteRankCall(address: string, kind: string): void {
    const target = this.table.findByAddress(address);
    if (target === undefined) return;
    this.pushback.countCall(target, kind, performance.now());
    this.coordinator.chargeCall(target.id);
  }

  /** Sets the source of map outlooks, which is used while this node leads. */
  setOutlookSource(
    of: (service: string, group: string) => MapOutlook | undefined
  ): void {
    this.outlookOf = of;
  }

  setSeeds(seeds: readonly string[]): void {
    this.directory.setSeeds(seeds);
  }

  /** Merges an announcement of a target; false when it is outdated. */
  handleAnnouncement(announcement: TargetAnnouncement): boolean {
    return this.reports.handleAnnouncement(announcement, performance.now());
  }

  /**
   * Marks a target that leaves: at once here, and in the log. Resolves once no loss that
   * the settings allow brings it back.
   */
  async recordDeparture(
    {id, bornMs, sequence}: TargetRecord,
    state: DepartureCommand['state']
  ): Promise<void> {
    if (state === 'gone')
      this.reports.handleLeave({id, bornMs}, performance.now());
    await this.report();
    const kind = 'departure';
    await this.propose({kind, targetId: id, bornMs, state, sequence});
  }

  /** Reports now; resolves once the leader has this node's announcements. */
  async report(): Promise<void> {
    await this.syncOnce();
  }

  /**
   * Resolves once the command is durable on a quorum. Then it is in force here, unless
   * another document is, or a later order came before it.
   */
  async propose(command: ProposedCommand): Promise<ProposalEnd['kind']> {
    const end =
      this.replica?.leads === true
        ? await this.leaderService.propose(command)
        : await this.leaderClient.call({
            method: NODE_METHODS.propose,
            params: {command},
            reply: PROPOSE_REPLY,
            timeoutMs: PROPOSE_TIMEOUT_MS,
            mayOverlap: false,
          });
    if (end.kind === 'committed' && end.state !== undefined)
      this.reports.applyChange(command, end.state);
    return end.kind;
  }

  /**
   * Adds a part of prompts to the quarantine or lifts it. Resolves once the leader has
   * it, with false if another one came first; the other nodes follow with their reports.
   */
  async changeQuarantine(change: QuarantineChange): Promise<boolean> {
    const end = this.leads
      ? this.coordinator.changeQuarantine(change)
      : await this.leaderClient.call({
          method: NODE_METHODS.quarantine,
          params: change,
          reply: QUARANTINE_CHANGE_REPLY,
          timeoutMs: READ_TIMEOUT_MS,
          mayOverlap: false,
        });
    if (end.kind === 'changed')
      this.quarantine.applyChange(change, performance.now(), end.lastChange);
    return end.kind === 'changed';
  }

  /** The newest site document, confirmed by a quorum; rejects without one. */
  async readSite(): Promise<{version: number; text: string}> {
    const heldVersion = this.reports.siteVersion;
    const reply =
      this.replica?.leads === true
        ? await this.leaderService.readSite(heldVersion)
        : await this.leaderClient.call({
            method: NODE_METHODS.readSite,
            params: {heldVersion},
            reply: READ_SITE_REPLY,
            timeoutMs: READ_TIMEOUT_MS,
            mayOverlap: true,
          });
    const packed = reply.packed ?? this.reports.packedSite;
    const text = packed === '' ? '' : unpackText(packed);
    return {version: reply.version, text};
  }

  async stop(): Promise<void> {
    this.subscription.unsubscribe();
    await this.replica?.close();
    this.server.close();
    this.rpc.close();
  }

  private async joinLog(): Promise<void> {
    const {directory, rpc} = this;
    const {dataDir, isFirstStart, lossesBorne, logger} = this.options;
    const founders = isFirstStart
      ? await findFounders(directory, rpc, logger, () => this.knowsLeader)
      : [];
    try {
      this.replica = await LogReplica.open({
        directory,
        dataDir,
        founders,
        isFirstStart,
        lossesBorne,
        logger,
        after: (ms, run) => setTimeout(run, ms).unref(),
      });
    } catch (err) {
      logger.error({event: 'disk.lost', err: String(err)}, 'cannot open log');
      setTimeout(() => void this.joinLog(), OPEN_RETRY_MS).unref();
    }
  }

  /** Delay until the next report; 0 when the last one exceeded the period. */
  private get syncDelayMs(): number {
    const dueAtMs = this.syncStartedAtMs + this.reportPeriodMs;
    return Math.max(0, dueAtMs - performance.now());
  }

  private get reportPeriodMs(): number {
    // A node that has just started has no view yet. If all were restarted, each would
    // search for the leader as often as in a small fleet.
    const nodes = Math.max(this.view.activeNodes, this.directory.all().length);
    return reportPeriodMs(nodes);
  }

  private async sync(): Promise<void> {
    this.syncStartedAtMs = performance.now();
    try {
      await this.syncOnce();
      this.options.metrics.reported('done');
      void this.crashedRequests.noteContact(this.reportPeriodMs);
    } catch (err) {
      this.options.metrics.reported('failed');
      this.options.logger.debug(
        {event: 'sync.failed', err: String(err)},
        'report failed'
      );
      this.peerDiscovery.probePeers();
    }
    if (!this.leads) return;
    this.leaderClient.noteSelfLeads();
    this.peerDiscovery.announceToSeeds(performance.now());
  }

  private async syncOnce(): Promise<void> {
    const sentAtMs = performance.now();
    const params = this.reports.takeReport(sentAtMs);
    try {
      const reply =
        this.replica?.leads === true
          ? await this.leaderService.sync(params)
          : await this.leaderClient.call({
              method: NODE_METHODS.sync,
              params,
              reply: SYNC_REPLY,
              timeoutMs: SYNC_TIMEOUT_MS,
              mayOverlap: true,
            });
      if (reply.kind !== 'state') throw new Error('this node no longer leads');
      const report = {params, sentAtMs, isLeader: this.leads};
      this.reports.applyReply(unpackRecords(reply), report, performance.now());
    } catch (err) {
      this.reports.requeue(params);
      throw err;
    }
  }

  /** The active site, which the leader's decisions are based on. */
  get site(): Site | undefined {
    return this.reports.site;
  }
}
