/**
 * The control loop of the leader for the models of targets: it plans changes
 * from the demand and carries them out by orders to agents.
 */

import type {Subscription} from 'rxjs';
import {distinctUntilChanged, interval, map} from 'rxjs';
import {unreachable} from '../../core/errors';
import type {ModelOrder, ModelOrderAnswer} from '../../core/fleetMessages';
import type {Logger} from '../../core/logger';
import type {Metrics} from '../../core/metrics';
import type {Announcement} from '../../core/wire';
import {FleetDemand} from '../../policy/fleetDemand';
import {FLEET_DEFAULTS, planFleet} from '../../policy/fleetPlan';
import type {FleetPlan} from '../../policy/fleetPlan';
import type {RuleIndex} from '../../rules/ruleIndex';
import type {ReplicatedLog} from '../log/replicatedLog';
import type {PlannedOrder} from '../state/command';
import {FleetMachine} from './fleetMachine';
import type {FleetAction, FleetEvent} from './fleetMachine';
import type {FleetState} from './fleetState';
import {poolDemand, poolView, ruleKey} from './fleetViews';

const TICK_INTERVAL_MS = 1_000;
/** Planning for 1,000 targets takes milliseconds; loading a model, minutes. */
const PLAN_INTERVAL_MS = 5_000;
/** Assumed duration of loading a model until one has been measured. */
const INITIAL_LOAD_MS = 120_000;
/** Weight of the newest load in the moving average of load durations. */
const LOAD_SMOOTHING = 0.2;

/** Dependencies of the fleet controller. */
export interface FleetControllerDependencies {
  readonly instanceId: string;
  readonly log: Pick<ReplicatedLog, 'propose' | 'readBarrier' | 'status$'>;
  readonly state: FleetState;
  readonly rules: () => RuleIndex | undefined;
  readonly targets: () => readonly Announcement[];
  /** Undefined when no agent announces the target; the order is sent again. */
  readonly send: (
    targetId: string,
    order: ModelOrder
  ) => Promise<ModelOrderAnswer | undefined>;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** State that this instance has gathered since it became the leader. */
interface LeaderState {
  readonly demand: Map<string, FleetDemand>;
  readonly orderedAtMs: Map<string, number>;
  readonly changedAtMs: Map<string, number>;
}

function emptyLeaderState(): LeaderState {
  return {demand: new Map(), orderedAtMs: new Map(), changedAtMs: new Map()};
}

/** Plans and orders models of targets; idle on a follower. */
export class FleetController {
  private readonly machine: FleetMachine;
  private leaderState = emptyLeaderState();
  private loadMs = INITIAL_LOAD_MS;
  private blocked = '';
  private plannedAtMs = -Infinity;

  constructor(private readonly dependencies: FleetControllerDependencies) {
    this.machine = new FleetMachine({
      holder: dependencies.instanceId,
      resendMs: TICK_INTERVAL_MS,
      proposeRetryMs: 3 * TICK_INTERVAL_MS,
    });
  }

  start(): Subscription {
    const leads = this.dependencies.log.status$.pipe(
      map(status => status.role === 'leader'),
      distinctUntilChanged()
    );
    const subscription = leads.subscribe(leader => {
      this.leaderState = emptyLeaderState();
      this.handle({kind: leader ? 'lead' : 'resign'});
    });
    subscription.add(interval(TICK_INTERVAL_MS).subscribe(() => this.tick()));
    return subscription;
  }

  private tick(): void {
    const rules = this.dependencies.rules();
    if (rules === undefined) return;
    const pools = rules
      .pools()
      .filter(pool => rules.serveRules(pool).length > 0);
    const wanted =
      pools.length > 0 || this.dependencies.state.open().length > 0;
    this.handle({kind: 'tick', wanted});
    const nowMs = performance.now();
    if (!this.machine.idle || nowMs - this.plannedAtMs < PLAN_INTERVAL_MS)
      return;
    this.plannedAtMs = nowMs;
    const plans = pools.map(pool => this.planPool(rules, pool));
    this.reportBlocked(plans);
    const changes = plans.flatMap(plan => plan.orders);
    if (changes.length > 0) this.handle({kind: 'plan', changes});
  }

  private planPool(rules: RuleIndex, pool: string) {
    const nowMs = performance.now();
    const targets = this.dependencies.targets();
    const demand = this.leaderState.demand.get(pool) ?? new FleetDemand();
    this.leaderState.demand.set(pool, demand);
    demand.observe(poolDemand(targets, rules, pool), nowMs);
    // Not every target may have announced itself to a new leader yet.
    if (!demand.settled(nowMs)) return {orders: [], blocked: []};
    const view = poolView(targets, rules, pool, this.dependencies.state, {
      demand: demand.smoothedByModel(),
      loadMs: this.loadMs,
      changedAtMs: this.leaderState.changedAtMs,
      nowMs,
    });
    const {changes, blocked} = planFleet(view, FLEET_DEFAULTS);
    const keys = new Map(
      rules.serveRules(pool).map(rule => [rule.model, ruleKey(rule)])
    );
    const orders = changes.map((change): PlannedOrder => ({
      ...change,
      rule: keys.get(change.model) ?? '',
    }));
    return {orders, blocked};
  }

  /** Reports blocked models on a change: a stuck rollout needs an operator. */
  private reportBlocked(plans: readonly Pick<FleetPlan, 'blocked'>[]): void {
    const blocked = plans.flatMap(plan => plan.blocked);
    const text = JSON.stringify(blocked);
    if (text === this.blocked) return;
    this.blocked = text;
    for (const {reason} of blocked)
      this.dependencies.metrics.count('fleet.blocked', {reason});
    if (blocked.length > 0)
      this.dependencies.logger.warn(
        {blocked},
        'some models get no further targets; see the reasons'
      );
  }

  private handle(event: FleetEvent): void {
    const actions = this.machine.handle(event, performance.now());
    actions.forEach(action => this.perform(action));
  }

  private perform(action: FleetAction): void {
    switch (action.kind) {
      case 'propose':
        return this.propose(action.command);
      case 'read':
        return this.read(action.seq);
      case 'send':
        return this.send(action.targetId, action.order);
      default:
        return unreachable(action);
    }
  }

  /** After a failure the state machine proposes the same command again. */
  private propose(
    command: Extract<FleetAction, {kind: 'propose'}>['command']
  ): void {
    this.dependencies.log.propose(command).then(
      applied => {
        if (applied.command === 'fleetFence')
          return this.handle({kind: 'fence', fence: applied.result.fence});
        if (command.kind === 'fleetFence' || !('result' in applied)) return;
        if (applied.command !== 'fleetOrder' && applied.command !== 'fleetEnd')
          return;
        if (applied.result.kind === 'recorded') this.onRecorded(command);
        const open = this.dependencies.state.open();
        const {kind: result} = applied.result;
        this.handle({kind: 'recorded', command, result, open});
      },
      err =>
        this.dependencies.logger.info(
          {err},
          'proposal failed; it is repeated while this instance leads'
        )
    );
  }

  private onRecorded(
    command: Exclude<
      Extract<FleetAction, {kind: 'propose'}>['command'],
      {kind: 'fleetFence'}
    >
  ): void {
    const nowMs = performance.now();
    const {leaderState, dependencies} = this;
    if (command.kind === 'fleetOrder') {
      dependencies.metrics.count('fleet.ordered', {}, command.changes.length);
      dependencies.logger.info(
        {changes: command.changes},
        'model orders recorded'
      );
      for (const {targetId} of command.changes)
        leaderState.orderedAtMs.set(targetId, nowMs);
      return;
    }
    const {targetId, outcome} = command;
    dependencies.metrics.count('fleet.ended', {outcome});
    leaderState.changedAtMs.set(targetId, nowMs);
    const orderedAtMs = leaderState.orderedAtMs.get(targetId);
    if (outcome === 'done' && orderedAtMs !== undefined)
      this.loadMs += LOAD_SMOOTHING * (nowMs - orderedAtMs - this.loadMs);
  }

  private read(seq: number): void {
    const {log, state, logger} = this.dependencies;
    log.readBarrier().then(
      () => {
        const {fence} = state;
        this.handle({kind: 'read', seq, fence, open: state.open()});
      },
      err =>
        logger.info(
          {err},
          'read barrier failed; it is repeated while this instance leads'
        )
    );
  }

  private send(targetId: string, order: ModelOrder): void {
    const {send, logger} = this.dependencies;
    send(targetId, order).then(
      answer => {
        if (answer === undefined) return;
        if (answer.kind === 'failed')
          logger.warn(
            {targetId, order, answer},
            `target ${targetId} failed to load model ${order.model}`
          );
        this.handle({kind: 'answer', targetId, order, answer});
      },
      err =>
        logger.debug(
          {err: String(err), targetId},
          'model order not answered; it will be sent again'
        )
    );
  }
}
