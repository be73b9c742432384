/** Runs a map controller for each group of ranks in the member table. */

import {Subscription, interval} from 'rxjs';
import type {Logger} from '../../core/logger';
import type {FromRankMessage, ToRankMessage} from '../../core/mapMessages';
import type {Metrics} from '../../core/metrics';
import type {GroupMember} from '../../core/wire';
import {evenShape} from '../../policy/placement';
import {placeFromScratch} from '../../policy/placementGreedy';
import {REBALANCE_DEFAULTS} from '../../policy/rebalanceDecision';
import {METHODS} from '../../rpc/messages';
import type {PeerClientFactory} from '../../rpc/peerClient';
import {AgentClients} from '../agentClients';
import type {ReplicatedLog} from '../log/replicatedLog';
import type {MemberTable} from '../memberTable';
import {CommittedRules} from '../committedRules';
import type {ControlState} from '../state/controlState';
import {MapController, RebalancePolicy} from './mapController';

const PERCENT = 100;
const SCAN_INTERVAL_MS = 500;
const SEND_TIMEOUT_MS = 1_000;
const TICK_INTERVAL_MS = 250;
/**
 * Passes between the prepare message and the switch. They cover two message
 * rounds and a quorum write.
 */
const MARGIN_PASSES = 50;
const MAX_MARGIN_PASSES = 800;
const PROMISE_TIMEOUT_MS = 3_000;
const RESEND_INTERVAL_MS = 200;
const PROPOSE_RETRY_INTERVAL_MS = 3_000;

/** Dependencies of the map manager. */
export interface MapManagerDependencies {
  readonly instanceId: string;
  readonly log: ReplicatedLog;
  readonly state: ControlState;
  readonly members: MemberTable;
  readonly connect: PeerClientFactory;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Starts a controller for each new group; controllers idle on a follower. */
export class MapManager {
  private readonly controllers = new Map<string, MapController>();
  private readonly clients: AgentClients;
  private readonly rules: CommittedRules;

  constructor(private readonly dependencies: MapManagerDependencies) {
    this.clients = new AgentClients(dependencies.connect);
    this.rules = new CommittedRules(dependencies.state.rules);
  }

  start(): Subscription {
    const subscriptions = new Subscription();
    subscriptions.add(
      interval(SCAN_INTERVAL_MS).subscribe(() => this.scan(subscriptions))
    );
    return subscriptions;
  }

  /** Handles a message from a rank; it has been validated on arrival. */
  receive(message: FromRankMessage): void {
    this.controllers.get(message.group)?.receive(message);
  }

  private scan(subscriptions: Subscription): void {
    for (const {group, pool} of this.dependencies.members.listTargets()) {
      if (group === undefined || this.controllers.has(group.id)) continue;
      const controller = this.create(group, pool);
      this.controllers.set(group.id, controller);
      subscriptions.add(controller.start());
    }
  }

  private create(
    {id, ranks, experts, slots}: GroupMember,
    pool: string
  ): MapController {
    const {dependencies} = this;
    const uniformPopularity = new Array<number>(experts).fill(1);
    return new MapController(
      {
        group: id,
        ranks,
        holder: dependencies.instanceId,
        initialMap: placeFromScratch(
          evenShape(ranks, experts, slots - experts),
          uniformPopularity
        ),
        marginPasses: MARGIN_PASSES,
        maxMarginPasses: MAX_MARGIN_PASSES,
        promiseTimeoutMs: PROMISE_TIMEOUT_MS,
        resendMs: RESEND_INTERVAL_MS,
        proposeRetryMs: PROPOSE_RETRY_INTERVAL_MS,
        experts,
        rebalance: REBALANCE_DEFAULTS,
        tickMs: TICK_INTERVAL_MS,
      },
      dependencies.log,
      dependencies.state.maps,
      {send: (rank, message) => this.send(id, rank, message)},
      () => this.rebalancePolicy(pool),
      dependencies.metrics,
      dependencies.logger
    );
  }

  private send(group: string, rank: number, message: ToRankMessage): void {
    this.deliver(group, rank, message).catch((err: unknown) => {
      this.dependencies.logger.debug(
        {err: String(err), group, rank},
        `could not send ${message.kind} to rank ${rank} of group ${group}`
      );
      // Other messages are sent again. A lost load order is reported as failed:
      // waiting for it would block all further loads of the group.
      if (message.kind !== 'stage') return;
      const {slot, expert} = message;
      this.receive({kind: 'staged', group, rank, slot, expert, ok: false});
    });
  }

  private async deliver(
    group: string,
    rank: number,
    message: ToRankMessage
  ): Promise<void> {
    const target = this.dependencies.members
      .listTargets()
      .find(one => one.group?.id === group && one.group.rank === rank);
    if (target === undefined)
      throw new Error(`no agent announces rank ${rank} of group ${group}`);
    await this.clients
      .clientFor(target)
      .call(METHODS.map, message, SEND_TIMEOUT_MS);
  }

  /** Rebalancing is off unless a rule enables it; operators decide on it. */
  private rebalancePolicy(pool: string): RebalancePolicy {
    const rule = this.rules.get()?.rebalance(pool);
    const minGain = (rule?.gainPercent ?? 0) / PERCENT;
    return {on: rule !== undefined, minGain};
  }
}
