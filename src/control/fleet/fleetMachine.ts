/**
 * The leader side of model orders, a pure event-driven state machine. It
 * accepts no plan before its fence is committed and the open orders have been
 * read, and it sends no order that is not recorded in the log.
 */

import {unreachable} from '../../core/errors';
import type {ModelOrder, ModelOrderAnswer} from '../../core/fleetMessages';
import {versionOf} from '../../core/mapMessages';
import type {
  FleetEndCommand,
  FleetFenceCommand,
  FleetOrderCommand,
  PlannedOrder,
} from '../state/command';
import type {FleetResult, OpenOrder} from './fleetState';

/** Input of the state machine. */
export type FleetEvent =
  | {readonly kind: 'lead'}
  | {readonly kind: 'resign'}
  | {readonly kind: 'fence'; readonly fence: number}
  /**
   * The replicated state, read behind a barrier that began after the `read`
   * action with that seq.
   */
  | {
      readonly kind: 'read';
      readonly seq: number;
      readonly fence: number;
      readonly open: readonly OpenOrder[];
    }
  /** A proposed command was applied; `open` are the open orders after it. */
  | {
      readonly kind: 'recorded';
      readonly command: FleetOrderCommand | FleetEndCommand;
      readonly result: FleetResult['kind'];
      readonly open: readonly OpenOrder[];
    }
  /** The reply of an agent to `order`. */
  | {
      readonly kind: 'answer';
      readonly targetId: string;
      readonly order: ModelOrder;
      readonly answer: ModelOrderAnswer;
    }
  | {readonly kind: 'plan'; readonly changes: readonly PlannedOrder[]}
  /** `wanted`: rules require models, or orders may be open. */
  | {readonly kind: 'tick'; readonly wanted: boolean};

/** Output of the state machine, carried out by its caller. */
export type FleetAction =
  | {
      readonly kind: 'propose';
      readonly command: FleetFenceCommand | FleetOrderCommand | FleetEndCommand;
    }
  /** Pass a read barrier, then handle the event `read`. */
  | {readonly kind: 'read'; readonly seq: number}
  | {
      readonly kind: 'send';
      readonly targetId: string;
      readonly order: ModelOrder;
    };

/** Identity and timing of the state machine; times in milliseconds. */
export interface FleetMachineConfig {
  readonly holder: string;
  /** Time after which an order without an outcome is sent again. */
  readonly resendMs: number;
  /** Time after which a proposal without a reply is repeated. */
  readonly proposeRetryMs: number;
}

type Recorded = FleetOrderCommand | FleetEndCommand;

type Phase =
  | {readonly kind: 'following'}
  /** Leads, but no orders are needed yet. */
  | {readonly kind: 'standby'}
  | {readonly kind: 'fencing'}
  | {readonly kind: 'reading'; readonly fence: number; readonly seq: number}
  | {readonly kind: 'idle'; readonly fence: number}
  | {
      readonly kind: 'recording';
      readonly fence: number;
      readonly command: Recorded;
    };

/** State machine of one control instance; acts only while it leads. */
export class FleetMachine {
  private phase: Phase = {kind: 'following'};
  private openOrders: readonly OpenOrder[] = [];
  private pendingEnds = new Map<string, FleetEndCommand>();
  private newestFence = 0;
  private seq = 0;
  private plannedCount = 0;
  private lastSentAtMs = -Infinity;

  constructor(private readonly cfg: FleetMachineConfig) {}

  /** Whether new orders may be planned. */
  get idle(): boolean {
    return this.phase.kind === 'idle' && this.pendingEnds.size === 0;
  }

  handle(event: FleetEvent, nowMs: number): readonly FleetAction[] {
    switch (event.kind) {
      case 'lead':
        this.phase = {kind: 'standby'};
        return [];
      case 'resign':
        return this.resign();
      case 'fence':
        return this.onFence(event.fence);
      case 'read':
        return this.onRead(event, nowMs);
      case 'recorded':
        return this.onRecorded(event, nowMs);
      case 'answer':
        return this.onAnswer(event, nowMs);
      case 'plan':
        return this.onPlan(event.changes, nowMs);
      case 'tick':
        return this.onTick(event.wanted, nowMs);
      default:
        return unreachable(event);
    }
  }

  private resign(): readonly FleetAction[] {
    this.phase = {kind: 'following'};
    this.openOrders = [];
    this.pendingEnds.clear();
    return [];
  }

  private requestFence(nowMs: number): readonly FleetAction[] {
    this.phase = {kind: 'fencing'};
    this.pendingEnds.clear();
    this.lastSentAtMs = nowMs;
    return [this.fenceAction()];
  }

  private fenceAction(): FleetAction {
    const {holder} = this.cfg;
    return {kind: 'propose', command: {kind: 'fleetFence', holder}};
  }

  private onFence(fence: number): readonly FleetAction[] {
    if (this.phase.kind !== 'fencing' || fence <= this.newestFence) return [];
    this.newestFence = fence;
    this.plannedCount = 0;
    return this.read(fence);
  }

  private read(fence: number): readonly FleetAction[] {
    this.phase = {kind: 'reading', fence, seq: ++this.seq};
    return [{kind: 'read', seq: this.seq}];
  }

  private onRead(
    {seq, fence, open}: Extract<FleetEvent, {kind: 'read'}>,
    nowMs: number
  ): readonly FleetAction[] {
    const {phase} = this;
    if (phase.kind !== 'reading' || seq !== phase.seq) return [];
    if (fence !== phase.fence) return this.requestFence(nowMs);
    this.phase = {kind: 'idle', fence};
    this.openOrders = open;
    return this.sendActions(fence, open);
  }

  /** Inherited orders keep their ids: an agent may be executing one already. */
  private sendActions(
    fence: number,
    orders: readonly OpenOrder[]
  ): readonly FleetAction[] {
    return orders
      .filter(({targetId}) => !this.pendingEnds.has(targetId))
      .map(({targetId, id, model, version}) => ({
        kind: 'send',
        targetId,
        order: {fence, id, model, modelVersion: version},
      }));
  }

  private onPlan(
    changes: readonly PlannedOrder[],
    nowMs: number
  ): readonly FleetAction[] {
    if (this.phase.kind !== 'idle' || !this.idle) return [];
    if (changes.length === 0) return [];
    const {fence} = this.phase;
    const id = versionOf(fence, ++this.plannedCount);
    return this.record({kind: 'fleetOrder', fence, id, changes}, nowMs);
  }

  private record(command: Recorded, nowMs: number): readonly FleetAction[] {
    this.phase = {kind: 'recording', fence: command.fence, command};
    this.lastSentAtMs = nowMs;
    return [{kind: 'propose', command}];
  }

  private onRecorded(
    {command, result, open}: Extract<FleetEvent, {kind: 'recorded'}>,
    nowMs: number
  ): readonly FleetAction[] {
    const {phase} = this;
    if (phase.kind !== 'recording' || phase.command !== command) return [];
    if (result === 'fenced') return this.requestFence(nowMs);
    const {fence} = phase;
    this.phase = {kind: 'idle', fence};
    const known = new Set(this.openOrders.map(({targetId}) => targetId));
    this.openOrders = open;
    if (command.kind === 'fleetEnd') this.pendingEnds.delete(command.targetId);
    const newOrders = open.filter(({targetId}) => !known.has(targetId));
    return [
      ...this.sendActions(fence, newOrders),
      ...this.recordNextEnd(nowMs),
    ];
  }

  private onAnswer(
    {targetId, order, answer}: Extract<FleetEvent, {kind: 'answer'}>,
    nowMs: number
  ): readonly FleetAction[] {
    const {phase} = this;
    // A reply to an order under an older fence may have been overtaken by a
    // newer one.
    if (!('fence' in phase) || order.fence !== phase.fence) return [];
    if (answer.kind === 'changing') return [];
    if (answer.kind === 'fenced')
      return answer.highestFence > phase.fence ? this.requestFence(nowMs) : [];
    const open = this.openOrders.some(
      one => one.targetId === targetId && one.id === order.id
    );
    if (!open || this.pendingEnds.has(targetId)) return [];
    const {fence, id} = order;
    const outcome = answer.kind;
    this.pendingEnds.set(targetId, {
      kind: 'fleetEnd',
      fence,
      id,
      targetId,
      outcome,
    });
    return this.recordNextEnd(nowMs);
  }

  private recordNextEnd(nowMs: number): readonly FleetAction[] {
    const [end] = this.pendingEnds.values();
    if (this.phase.kind !== 'idle' || end === undefined) return [];
    return this.record(end, nowMs);
  }

  private onTick(wanted: boolean, nowMs: number): readonly FleetAction[] {
    const {phase} = this;
    if (phase.kind === 'standby') return wanted ? this.requestFence(nowMs) : [];
    const {resendMs, proposeRetryMs} = this.cfg;
    const retryIntervalMs = phase.kind === 'idle' ? resendMs : proposeRetryMs;
    if (nowMs - this.lastSentAtMs < retryIntervalMs) return [];
    this.lastSentAtMs = nowMs;
    switch (phase.kind) {
      case 'following':
        return [];
      case 'fencing':
        return [this.fenceAction()];
      case 'reading':
        return this.read(phase.fence);
      case 'idle':
        return this.sendActions(phase.fence, this.openOrders);
      // Repeats the same command, never another: the first may be recorded.
      case 'recording':
        return [{kind: 'propose', command: phase.command}];
      default:
        return unreachable(phase);
    }
  }
}
