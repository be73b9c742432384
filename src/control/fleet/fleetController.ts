/** The leader's loop for models: demand to plan, plan to orders to agents. */

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
import {poolView, poolWork, ruleKey} from './fleetViews';

const TICK_MS = 1_000;
/** A look at 1,000 targets costs milliseconds, and loads take minutes. */
const PLAN_MS = 5_000;
/** Guess of the time of a load until one was seen. */
const FIRST_LOAD_MS = 120_000;
const LEARN_PART = 0.2;

/** What the loop works with. */
export interface FleetParts {
  readonly instanceId: string;
  readonly log: Pick<ReplicatedLog, 'propose' | 'readBarrier' | 'status$'>;
  readonly state: FleetState;
  readonly rules: () => RuleIndex | undefined;
  readonly targets: () => readonly Announcement[];
  /** Undefined when the agent gave no answer; the order goes out again. */
  readonly send: (
    targetId: string,
    order: ModelOrder
  ) => Promise<ModelOrderAnswer | undefined>;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** What this instance has learned while it leads. */
interface Learned {
  readonly demand: Map<string, FleetDemand>;
  readonly orderedAtMs: Map<string, number>;
  readonly changedAtMs: Map<string, number>;
}

function nothing(): Learned {
  return {demand: new Map(), orderedAtMs: new Map(), changedAtMs: new Map()};
}

/** Idle while the instance does not lead. */
export class FleetController {
  private readonly machine: FleetMachine;
  private learned = nothing();
  private loadMs = FIRST_LOAD_MS;
  private blocked = '';
  private plannedAtMs = -Infinity;

  constructor(private readonly parts: FleetParts) {
    this.machine = new FleetMachine({
      holder: parts.instanceId,
      resendMs: TICK_MS,
      proposeRetryMs: 3 * TICK_MS,
    });
  }

  start(): Subscription {
    const leads = this.parts.log.status$.pipe(
      map(status => status.role === 'leader'),
      distinctUntilChanged()
    );
    const all = leads.subscribe(leader => {
      this.learned = nothing();
      this.handle({kind: leader ? 'lead' : 'resign'});
    });
    all.add(interval(TICK_MS).subscribe(() => this.tick()));
    return all;
  }

  private tick(): void {
    const rules = this.parts.rules();
    if (rules === undefined) return;
    const pools = rules.pools().filter(pool => rules.serves(pool).length > 0);
    const wanted = pools.length > 0 || this.parts.state.open().length > 0;
    this.handle({kind: 'tick', wanted});
    const nowMs = performance.now();
    if (!this.machine.idle || nowMs - this.plannedAtMs < PLAN_MS) return;
    this.plannedAtMs = nowMs;
    const plans = pools.map(pool => this.planPool(rules, pool));
    this.noteBlocked(plans);
    const changes = plans.flatMap(plan => plan.orders);
    if (changes.length > 0) this.handle({kind: 'plan', changes});
  }

  private planPool(rules: RuleIndex, pool: string) {
    const nowMs = performance.now();
    const targets = this.parts.targets();
    const demand = this.learned.demand.get(pool) ?? new FleetDemand();
    this.learned.demand.set(pool, demand);
    demand.observe(poolWork(targets, rules, pool), nowMs);
    // A leader that has just begun has not heard of every target yet.
    if (!demand.settled(nowMs)) return {orders: [], blocked: []};
    const view = poolView(targets, rules, pool, this.parts.state, {
      demand: demand.levelsNow(),
      loadMs: this.loadMs,
      changedAtMs: this.learned.changedAtMs,
      nowMs,
    });
    const {changes, blocked} = planFleet(view, FLEET_DEFAULTS);
    const keys = new Map(
      rules.serves(pool).map(rule => [rule.model, ruleKey(rule)])
    );
    const orders = changes.map((change): PlannedOrder => ({
      ...change,
      rule: keys.get(change.model) ?? '',
    }));
    return {orders, blocked};
  }

  /** Told when it changes: a roll-out that stands still needs an operator. */
  private noteBlocked(plans: readonly Pick<FleetPlan, 'blocked'>[]): void {
    const blocked = plans.flatMap(plan => plan.blocked);
    const text = JSON.stringify(blocked);
    if (text === this.blocked) return;
    this.blocked = text;
    for (const {reason} of blocked)
      this.parts.metrics.count('fleet.blocked', {reason});
    if (blocked.length > 0)
      this.parts.logger.warn({blocked}, 'models wait for targets');
  }

  private handle(event: FleetEvent): void {
    const actions = this.machine.handle(event, performance.now());
    actions.forEach(action => this.carryOut(action));
  }

  private carryOut(action: FleetAction): void {
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

  /** Without an answer the machine proposes the same again after a while. */
  private propose(
    command: Extract<FleetAction, {kind: 'propose'}>['command']
  ): void {
    this.parts.log.propose(command).then(
      answer => {
        if (answer.command === 'fleetFence')
          return this.handle({kind: 'fence', fence: answer.result.fence});
        if (command.kind === 'fleetFence' || !('result' in answer)) return;
        if (answer.command !== 'fleetOrder' && answer.command !== 'fleetEnd')
          return;
        if (answer.result.kind === 'recorded') this.noteRecorded(command);
        const open = this.parts.state.open();
        const {kind: result} = answer.result;
        this.handle({kind: 'recorded', command, result, open});
      },
      err => this.parts.logger.info({err}, 'proposal lost')
    );
  }

  private noteRecorded(
    command: Exclude<
      Extract<FleetAction, {kind: 'propose'}>['command'],
      {kind: 'fleetFence'}
    >
  ): void {
    const nowMs = performance.now();
    const {learned, parts} = this;
    if (command.kind === 'fleetOrder') {
      parts.metrics.count('fleet.ordered', {}, command.changes.length);
      parts.logger.info({changes: command.changes}, 'models ordered');
      for (const {targetId} of command.changes)
        learned.orderedAtMs.set(targetId, nowMs);
      return;
    }
    const {targetId, outcome} = command;
    parts.metrics.count('fleet.ended', {outcome});
    learned.changedAtMs.set(targetId, nowMs);
    const orderedAtMs = learned.orderedAtMs.get(targetId);
    if (outcome === 'done' && orderedAtMs !== undefined)
      this.loadMs += LEARN_PART * (nowMs - orderedAtMs - this.loadMs);
  }

  private read(seq: number): void {
    const {log, state, logger} = this.parts;
    log.readBarrier().then(
      () => {
        const {fence} = state;
        this.handle({kind: 'read', seq, fence, open: state.open()});
      },
      err => logger.info({err}, 'read barrier not passed')
    );
  }

  private send(targetId: string, order: ModelOrder): void {
    const {send, logger} = this.parts;
    send(targetId, order).then(
      answer => {
        if (answer === undefined) return;
        if (answer.kind === 'failed')
          logger.warn({targetId, order, answer}, 'order failed');
        this.handle({kind: 'answer', targetId, order, answer});
      },
      err => logger.debug({err: String(err), targetId}, 'order not answered')
    );
  }
}
