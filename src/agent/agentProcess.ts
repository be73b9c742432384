/** Starts, drains and stops the agent of one target. */

import {Subscription, distinctUntilChanged, filter, map, take} from 'rxjs';
import {newBootId} from '../core/bootId';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import {METHODS, fenceClaimRequest, modelOrder} from '../rpc/messages';
import {PeerClient, createPeerHttpsAgent} from '../rpc/peerClient';
import {PeerTraffic} from '../rpc/peerTraffic';
import {PeerServer} from '../rpc/peerServer';
import {createInbound} from '../rpc/createInbound';
import type {AgentSettings} from '../settings/settings';
import {ControlSync} from '../sync/controlSync';
import {createTargetAdapter} from '../target/createTargetAdapter';
import {AgentCore} from './agentCore';
import {dispatchHandler} from './dispatchHandler';
import {fenceClaim} from './fenceClaim';
import {createModelChange} from './fleet/createModelChange';
import type {ModelChange} from './fleet/modelChange';
import {RankRole} from './maps/rankRole';
import {TO_RANK_MESSAGE} from './maps/toRankMessageSchema';
import {probeTarget, watchTarget} from './targetWatcher';

const DRAIN_POLL_INTERVAL_MS = 50;
/**
 * Lets every entry learn that this agent is leaving; covers several polls of
 * control.
 */
const MIN_LEAVE_NOTICE_MS = 2_000;

/** A running agent. */
export class AgentProcess {
  private constructor(
    private readonly core: AgentCore,
    private readonly server: PeerServer,
    private readonly sync: ControlSync,
    private readonly subscription: Subscription
  ) {}

  static async start(
    settings: AgentSettings,
    logger: Logger,
    metrics: Metrics
  ): Promise<AgentProcess> {
    const {process, target, internal} = settings;
    const adapter = createTargetAdapter(target.kind, target.host, target.port);
    const {availabilityZone, host} = process;
    const core = new AgentCore({
      target,
      availabilityZone,
      host,
      adapter,
      logger,
      metrics,
    });
    const server = createServer(settings, core);
    server.addMethod(METHODS.fenceClaim, {
      params: fenceClaimRequest,
      handle: request => fenceClaim(core, request),
    });
    // The gate opens once no model order is open, see ModelChange.recover.
    if (target.kind === 'engine') core.beginModelChange();
    core.port = await server.listen();
    const traffic = new PeerTraffic();
    const peerAgent = createPeerHttpsAgent(internal.key, process.id);
    const instances = settings.control.instances.map(
      address => new PeerClient(address, peerAgent, traffic)
    );
    const sync = createSync(settings, instances, core, logger, metrics);
    core.attach(sync);
    const rankRole = new RankRole(core, instances, () => probeTarget(core));
    server.addMethod(METHODS.map, {
      params: TO_RANK_MESSAGE,
      handle: message => {
        rankRole.receive(message);
        return {};
      },
    });
    const modelChange = createModelChange(core, instances);
    server.addMethod(METHODS.modelOrder, {
      params: modelOrder,
      handle: order => modelChange.receive(order),
    });
    const subscription = watchTarget(core, seen => rankRole.onProbe(seen));
    subscription.add(() => rankRole.stop());
    subscription.add(traffic.report(metrics));
    subscription.add(recheckQueueOnNewRules(core, sync));
    if (target.kind === 'engine')
      subscription.add(recoverOnFirstRules(core, sync, modelChange));
    sync.start();
    return new AgentProcess(core, server, sync, subscription);
  }

  get port(): number {
    return this.core.port;
  }

  /**
   * Finishes the running requests, for at most the drain time, and refuses new
   * ones. The port stays open for a minimum time even without requests, so that
   * an entry that does not know of the drain yet gets a refusal and retries at
   * another target. A dispatch on a closing connection would have an unknown
   * outcome.
   */
  async drain(): Promise<void> {
    this.core.leave();
    const startedAtMs = performance.now();
    await this.sync.announceLeaving();
    const noticeEndsAtMs = startedAtMs + MIN_LEAVE_NOTICE_MS;
    const drainEndsAtMs = Math.max(
      noticeEndsAtMs,
      startedAtMs + this.core.target.drainMs
    );
    const isBusy = () =>
      this.core.gate.outstanding > 0 || performance.now() < noticeEndsAtMs;
    while (isBusy() && performance.now() < drainEndsAtMs) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_INTERVAL_MS));
    }
    await this.stop();
  }

  async stop(): Promise<void> {
    this.sync.stop();
    this.subscription.unsubscribe();
    await this.server.close();
    this.core.adapter.close();
    this.core.metrics.close();
  }
}

function createSync(
  {process, control}: AgentSettings,
  instances: readonly PeerClient[],
  core: AgentCore,
  logger: Logger,
  metrics: Metrics
): ControlSync {
  return new ControlSync({
    processId: process.id,
    role: 'agent',
    bootId: newBootId(),
    availabilityZone: process.availabilityZone,
    instances,
    pollMs: control.pollMs,
    proofMs: control.proofMs,
    report: () => ({announcement: core.announcement()}),
    logger,
    metrics,
  });
}

/**
 * Reopens the gate after the first rules. Without `serve` lines for the pool
 * there are no model orders; with them, one may still be open. Before the first
 * rules nothing may start in any case.
 */
function recoverOnFirstRules(
  core: AgentCore,
  sync: ControlSync,
  modelChange: ModelChange
): Subscription {
  return sync.rules$
    .pipe(
      filter(rules => rules !== undefined),
      take(1)
    )
    .subscribe(({index}) => {
      if (index.serveRules(core.target.pool).length === 0)
        core.endModelChange(false);
      else void modelChange.recover();
    });
}

/** Refuses queued requests that new rules no longer admit. */
function recheckQueueOnNewRules(
  core: AgentCore,
  sync: ControlSync
): Subscription {
  return sync.rules$
    .pipe(
      filter(rules => rules !== undefined),
      map(rules => rules.revision),
      distinctUntilChanged()
    )
    .subscribe(() => core.gate.recheckQueued());
}

function createServer(
  {process, internal, machine}: AgentSettings,
  core: AgentCore
): PeerServer {
  const {logger, metrics} = core;
  return new PeerServer({
    host: process.host,
    port: internal.port,
    secret: internal.key,
    acceptSecret: internal.acceptKey,
    logger,
    metrics,
    inbound: createInbound(machine, logger, metrics),
    fallback: dispatchHandler(core),
  });
}
