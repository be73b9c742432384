/** Starts and drains the agent beside one target. */

import {Subscription, distinctUntilChanged, filter, map, take} from 'rxjs';
import {newBootId} from '../core/bootId';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import {METHODS, fenceClaimRequest, modelOrder} from '../rpc/messages';
import {PeerClient, createPeerAgent} from '../rpc/peerClient';
import {PeerTraffic} from '../rpc/peerTraffic';
import {PeerServer} from '../rpc/peerServer';
import type {AgentSettings} from '../settings/settings';
import {ControlSync} from '../sync/controlSync';
import {createTargetAdapter} from '../target/createTargetAdapter';
import {AgentCore} from './agentCore';
import {dispatchHandler} from './dispatchHandler';
import {fenceClaim} from './fenceClaim';
import {createModelChange} from './fleet/createModelChange';
import type {ModelChange} from './fleet/modelChange';
import {RankRole} from './maps/rankRole';
import {TO_RANK} from './maps/toRankSchema';
import {lookAtTarget, watchTarget} from './targetWatcher';

const DRAIN_CHECK_MS = 50;
/** Time in which every entry hears of the leaving: some polls of control. */
const LEAVE_NOTICE_MS = 2_000;

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
    const server = new PeerServer({
      host,
      port: internal.port,
      secret: internal.key,
      acceptSecret: internal.acceptKey,
      logger,
      metrics,
      fallback: dispatchHandler(core),
    });
    server.addMethod(METHODS.fenceClaim, {
      params: fenceClaimRequest,
      handle: request => fenceClaim(core, request),
    });
    // Open only when it is known that no order is out, see ModelChange.learn.
    if (target.kind === 'engine') core.beginChange();
    core.port = await server.listen();
    const traffic = new PeerTraffic();
    const peerAgent = createPeerAgent(internal.key, process.id);
    const instances = settings.control.instances.map(
      address => new PeerClient(address, peerAgent, traffic)
    );
    const sync = createSync(settings, instances, core, logger, metrics);
    core.attach(sync);
    const rankRole = new RankRole(core, instances, () => lookAtTarget(core));
    server.addMethod(METHODS.map, {
      params: TO_RANK,
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
    const subscription = watchTarget(core, seen => rankRole.observed(seen));
    subscription.add(() => rankRole.stop());
    subscription.add(traffic.report(metrics));
    subscription.add(recheckOnNewRules(core, sync));
    if (target.kind === 'engine')
      subscription.add(learnOnFirstRules(core, sync, modelChange));
    sync.start();
    return new AgentProcess(core, server, sync, subscription);
  }

  get port(): number {
    return this.core.port;
  }

  /**
   * Lets the work in hand finish, up to the drain time, and takes none that is
   * new. An entry that has not heard of the leaving yet is refused and goes
   * elsewhere. For that the port stays open a little even without work: a
   * dispatch on a connection that closes has an unknown outcome.
   */
  async drain(): Promise<void> {
    this.core.leave();
    const leftAtMs = performance.now();
    await this.sync.announceNow();
    const heardAtMs = leftAtMs + LEAVE_NOTICE_MS;
    const deadlineAt = Math.max(heardAtMs, leftAtMs + this.core.target.drainMs);
    const isBusy = () =>
      this.core.gate.outstanding > 0 || performance.now() < heardAtMs;
    while (isBusy() && performance.now() < deadlineAt) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MS));
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

/** Without rules nothing starts anyway; with `serve` lines orders may be out. */
function learnOnFirstRules(
  core: AgentCore,
  sync: ControlSync,
  modelChange: ModelChange
): Subscription {
  return sync.rules$
    .pipe(
      filter(held => held !== undefined),
      take(1)
    )
    .subscribe(({index}) => {
      if (index.serves(core.target.pool).length === 0) core.endChange(false);
      else void modelChange.learn();
    });
}

/** Queued work must not start, nor wait on, under rules that bar it. */
function recheckOnNewRules(core: AgentCore, sync: ControlSync): Subscription {
  return sync.rules$
    .pipe(
      filter(held => held !== undefined),
      map(held => held.revision),
      distinctUntilChanged()
    )
    .subscribe(() => core.gate.recheck());
}
