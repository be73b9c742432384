/** Starts and drains an entry. */

import https from 'node:https';
import type {Subscription} from 'rxjs';
import {newBootId} from '../core/bootId';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import {PeerClient, createPeerAgent} from '../rpc/peerClient';
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
    const keptAgent = createPeerAgent(internal.key, process.id);
    const singleAgent = new https.Agent({
      ...clientTls(internal.key, process.id),
      keepAlive: false,
    });
    const sync = new ControlSync({
      processId: process.id,
      role: 'entry',
      bootId: newBootId(),
      availabilityZone: process.availabilityZone,
      instances: control.instances.map(
        address => new PeerClient(address, keptAgent, traffic)
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
        budgets: new RetryBudgets(),
        usage,
        zoneReturns,
        keptAgent,
        singleAgent,
        logger,
        metrics,
        random: Math.random,
      },
      settings
    );
    const port = await server.listen();
    sync.start();
    const subscription = traffic.report(metrics);
    subscription.add(
      sync.rules$.subscribe(held => {
        if (held !== undefined)
          zoneReturns.follow(held.index, performance.now());
      })
    );
    return new EntryProcess(port, server, sync, metrics, subscription);
  }

  /** Every request in hand gets its whole answer; see CallerServer.drain. */
  async drain(): Promise<void> {
    await this.server.drain();
    // The last calls are charged for as well.
    await this.sync.announceNow();
    await this.stop();
  }

  async stop(): Promise<void> {
    await this.server.close();
    this.subscription.unsubscribe();
    this.sync.stop();
    this.metrics.close();
  }
}
