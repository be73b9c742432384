/** Starts and stops a control instance. */

import {Subscription, exhaustMap, interval} from 'rxjs';
import {newBootId} from '../core/bootId';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import type {Inbound} from '../inbound/inbound';
import * as z from 'zod';
import {METHODS} from '../rpc/messages';
import {
  PeerAddress,
  PeerClient,
  PeerClientFactory,
  createPeerHttpsAgent,
} from '../rpc/peerClient';
import {PeerTraffic} from '../rpc/peerTraffic';
import {PeerServer} from '../rpc/peerServer';
import {AgentClients} from './agentClients';
import type {ControlContext} from './controlContext';
import {EntryViews} from './entryViews';
import {FleetController} from './fleet/fleetController';
import {createReplicatedLog} from './log/createReplicatedLog';
import {staticPeers} from './log/logOptions';
import type {ReplicatedLog} from './log/replicatedLog';
import {FROM_RANK} from './maps/fromRankSchema';
import {MapManager} from './maps/mapManager';
import {MemberTable} from './memberTable';
import {checkOrderMethod} from './methods/checkOrderMethod';
import {claimMethod, lookupMethod, settleMethod} from './methods/claimMethods';
import {locateMethod} from './methods/locateMethod';
import {pollMethod} from './methods/pollMethod';
import {statusMethod, usageMethod} from './methods/statusMethods';
import {submitMethod} from './methods/submitMethod';
import {RecentRules} from './recentRules';
import {CommittedRules} from './committedRules';
import {ControlState} from './state/controlState';
import {UsageTable} from './usageTable';
import {ZoneStatusCache} from './zoneStatusCache';

const PEER_CALL_TIMEOUT_MS = 1_000;
const USAGE_LOG_INTERVAL_MS = 5_000;

/** Settings of a control instance. */
export interface ControlProcessOptions {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly secret: string;
  /** See `PeerServerOptions`. */
  readonly acceptSecret?: string;
  /** All control instances, this one included. */
  readonly instances: readonly PeerAddress[];
  readonly dataDir: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly inbound: Inbound;
  /** Called when the disk can no longer be trusted; the process must exit. */
  readonly onFatal: (err: unknown) => void;
}

/** A running control instance. */
export class ControlProcess {
  private constructor(
    readonly port: number,
    private readonly server: PeerServer,
    private readonly log: ReplicatedLog,
    private readonly subscription: Subscription
  ) {}

  static async start(options: ControlProcessOptions): Promise<ControlProcess> {
    const traffic = new PeerTraffic();
    const server = new PeerServer({...options, traffic});
    const state = new ControlState();
    const agent = createPeerHttpsAgent(options.secret, options.id);
    const connect: PeerClientFactory = address =>
      new PeerClient(address, agent, traffic);
    const log = await openLog(options, state, connect);
    const members = new MemberTable();
    const context: ControlContext = {
      instanceId: options.id,
      bootId: newBootId(),
      log,
      state,
      members,
      entryViews: new EntryViews(members),
      zones: new ZoneStatusCache(state.rules),
      recentRules: new RecentRules(),
      usage: new UsageTable(state.usage),
      logger: options.logger,
    };
    const {logger, metrics} = options;
    const mapManager = new MapManager({...context, connect, logger, metrics});
    addMethods(server, context, mapManager);
    const port = await server.listen();
    const usage = interval(USAGE_LOG_INTERVAL_MS).pipe(
      exhaustMap(() => proposeUsage(context))
    );
    const subscription = usage.subscribe();
    subscription.add(traffic.report(metrics));
    subscription.add(mapManager.start());
    subscription.add(startFleetController(context, connect, metrics));
    return new ControlProcess(port, server, log, subscription);
  }

  /**
   * Hands over the lead before the port closes: a leader that no peer and no
   * client can reach would keep its lead by its own heartbeats.
   */
  async stop(): Promise<void> {
    this.subscription.unsubscribe();
    await this.log.close();
    await this.server.close();
  }
}

function startFleetController(
  {instanceId, log, state, members, logger}: ControlContext,
  connect: PeerClientFactory,
  metrics: Metrics
): Subscription {
  const rules = new CommittedRules(state.rules);
  const clients = new AgentClients(connect);
  return new FleetController({
    instanceId,
    log,
    state: state.fleet,
    rules: () => rules.get(),
    targets: () => members.listTargets(),
    send: async (targetId, order) => {
      const target = members.listTargets().find(t => t.targetId === targetId);
      if (target === undefined) return undefined;
      const client = clients.clientFor(target);
      return client.call(METHODS.modelOrder, order, PEER_CALL_TIMEOUT_MS);
    },
    metrics,
    logger,
  }).start();
}

function openLog(
  options: ControlProcessOptions,
  state: ControlState,
  connect: PeerClientFactory
): Promise<ReplicatedLog> {
  const peers = options.instances
    .filter(peer => peer.id !== options.id)
    .map(address => {
      const client = connect(address);
      const send = (message: unknown) =>
        client.call<unknown>(METHODS.log, {message}, PEER_CALL_TIMEOUT_MS);
      return {id: address.id, send};
    });
  const {id, dataDir, logger, metrics, onFatal} = options;
  return createReplicatedLog({
    id,
    peers: staticPeers(peers),
    dataDir,
    stateMachine: state,
    logger,
    metrics,
    random: Math.random,
    onFatal,
  });
}

function addMethods(
  server: PeerServer,
  context: ControlContext,
  mapManager: MapManager
): void {
  server.addMethod(METHODS.poll, pollMethod(context));
  server.addMethod(METHODS.submit, submitMethod(context));
  server.addMethod(METHODS.claim, claimMethod(context));
  server.addMethod(METHODS.settle, settleMethod(context));
  server.addMethod(METHODS.lookupClaim, lookupMethod(context));
  server.addMethod(METHODS.locate, locateMethod(context));
  server.addMethod(METHODS.status, statusMethod(context));
  server.addMethod(METHODS.usage, usageMethod(context));
  server.addMethod(METHODS.checkOrder, checkOrderMethod(context));
  server.addMethod(METHODS.map, {
    params: FROM_RANK,
    handle: message => {
      mapManager.receive(message);
      return {};
    },
  });
  server.addMethod(METHODS.log, {
    params: z.object({message: z.unknown()}),
    handle: ({message}) => context.log.receive(message),
  });
}

/** On the leader, writes usage totals that the log lacks to the log. */
async function proposeUsage({
  log,
  usage,
  logger,
}: ControlContext): Promise<void> {
  const unlogged = usage.listUnlogged(performance.now());
  if (log.status().role !== 'leader') return;
  for (const report of unlogged) {
    try {
      await log.propose({kind: 'usage', ...report});
    } catch (err) {
      logger.warn(
        {err: String(err)},
        'could not write usage to the log; it will be tried again'
      );
    }
  }
}
