/** Starts and drains an entry. */

import https from 'node:https';
import type {Subscription} from 'rxjs';
import {newBootId} from '../core/bootId';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import {createInbound} from '../rpc/createInbound';
import {PeerClient, createPeerHttpsAgent} from '../rpc/peerClient';
import {PeerTraffic} from '../rpc/peerTraffic';
import {clientTls} from '../rpc/peerTls';
import type {EntrySettings} from '../settings/settings';
import {ControlSync} from '../sync/controlSync';
import {CallerServer} from './callerServer';
import {RetryBudgets} from './retryBudgets';
import {TargetLoad} from './targetLoad';
import {UsageCounter} from './usageCounter';
import {ZoneReturns} from './zoneReturns';

/** A running entry. */
export class EntryProcess {
  private constructor(
    readonly port: number,
    private readonly server: CallerServer,
    private readonly sync: ControlSync,
    private readonly metrics: Metrics,
    private readonly subscription: Subscription
  ) {}

  static async start(
    settings: EntrySettings,
    logger: Logger,
    metrics: Metrics
  ): Promise<EntryProcess> {
    const {process, internal, control} = settings;
    const usage = new UsageCounter();
    const traffic = new PeerTraffic();
    const keepAliveAgent = createPeerHttpsAgent(internal.key, process.id);
    const singleUseAgent = new https.Agent({
      ...clientTls(internal.key, process.id),
      keepAlive: false,
    });
    const sync = new ControlSync({
      processId: process.id,
      role: 'entry',
      bootId: newBootId(),
      availabilityZone: process.availabilityZone,
      instances: control.instances.map(
        address => new PeerClient(address, keepAliveAgent, traffic)
      ),
      pollMs: control.pollMs,
      proofMs: control.proofMs,
      subset: control.subsetSize,
      report: () => ({usage: usage.report()}),
      logger,
      metrics,
    });
    const zoneReturns = new ZoneReturns();
    const server = new CallerServer(
      {
        entryId: process.id,
        availabilityZone: process.availabilityZone,
        sync,
        load: new TargetLoad(),
        retryBudgets: new RetryBudgets(),
        usage,
        zoneReturns,
        keepAliveAgent,
        singleUseAgent,
        logger,
        metrics,
        random: Math.random,
      },
      settings,
      createInbound(settings.machine, logger, metrics)
    );
    const port = await server.listen();
    sync.start();
    const subscription = traffic.report(metrics);
    subscription.add(
      sync.rules$.subscribe(active => {
        if (active !== undefined)
          zoneReturns.update(active.index, performance.now());
      })
    );
    return new EntryProcess(port, server, sync, metrics, subscription);
  }

  /**
   * Completes every request in progress, then stops; see CallerServer.drain.
   */
  async drain(): Promise<void> {
    await this.server.drain();
    // Reports the usage of the last calls, so that they are billed.
    await this.sync.announceLeaving();
    await this.stop();
  }

  async stop(): Promise<void> {
    await this.server.close();
    this.subscription.unsubscribe();
    this.sync.stop();
    this.metrics.close();
  }
}
