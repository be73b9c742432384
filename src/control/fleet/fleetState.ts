/**
 * The replicated state of model orders: the fence of the instance that issues
 * them, the open orders, and the outcomes of the last ones. An order is
 * recorded here before it is sent to any agent, so the next leader finds it.
 */

import type {
  FleetEndCommand,
  FleetFenceCommand,
  FleetOrderCommand,
} from '../state/command';

/** An order without a recorded outcome. */
export interface OpenOrder {
  readonly id: number;
  readonly targetId: string;
  readonly model: string;
  readonly version: string;
  /** The rule that requires it, in normalized spelling. */
  readonly rule: string;
}

/** The model that the last successful order loaded into a target. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
}

/** The state as stored in snapshots. */
export interface FleetSnapshot {
  readonly fence: number;
  readonly holder: string;
  readonly lastId: number;
  readonly open: readonly OpenOrder[];
  readonly changed: readonly (readonly [string, LoadedModel])[];
  readonly failures: readonly (readonly [string, number])[];
}

/** Whether a command was recorded. */
export interface FleetResult {
  readonly kind: 'recorded' | 'fenced';
}

const RECORDED: FleetResult = {kind: 'recorded'};
const FENCED: FleetResult = {kind: 'fenced'};

/** Applies fences, orders and their outcomes in log order. */
export class FleetState {
  private newestFence = 0;
  private holder = '';
  private lastId = 0;
  private openByTarget = new Map<string, OpenOrder>();
  private changed = new Map<string, LoadedModel>();
  private failures = new Map<string, number>();

  /** Newest fence; 0 before the first. */
  get fence(): number {
    return this.newestFence;
  }

  open(): readonly OpenOrder[] {
    return [...this.openByTarget.values()];
  }

  openOrderOf(targetId: string): OpenOrder | undefined {
    return this.openByTarget.get(targetId);
  }

  lastModelOf(targetId: string): LoadedModel | undefined {
    return this.changed.get(targetId);
  }

  /** Number of consecutive failed orders for a rule. */
  failuresOf(rule: string): number {
    return this.failures.get(rule) ?? 0;
  }

  applyFence({holder}: FleetFenceCommand): {readonly fence: number} {
    this.newestFence++;
    this.holder = holder;
    return {fence: this.newestFence};
  }

  applyOrder({fence, id, changes}: FleetOrderCommand): FleetResult {
    // An order of an older leader must not be recorded late: the newer leader
    // has planned without it.
    if (fence !== this.newestFence) return FENCED;
    // A proposer whose reply was lost proposes the same orders again.
    if (id <= this.lastId) return RECORDED;
    this.lastId = id;
    for (const change of changes) {
      if (this.openByTarget.has(change.targetId)) continue;
      this.openByTarget.set(change.targetId, {id, ...change});
    }
    return RECORDED;
  }

  applyEnd({fence, id, targetId, outcome}: FleetEndCommand): FleetResult {
    if (fence !== this.newestFence) return FENCED;
    const order = this.openByTarget.get(targetId);
    if (order?.id !== id) return RECORDED;
    this.openByTarget.delete(targetId);
    const {rule, model, version} = order;
    if (outcome === 'failed') {
      this.failures.set(rule, this.failuresOf(rule) + 1);
      return RECORDED;
    }
    this.failures.delete(rule);
    this.changed.set(targetId, {model, version});
    return RECORDED;
  }

  snapshot(): FleetSnapshot {
    return {
      fence: this.newestFence,
      holder: this.holder,
      lastId: this.lastId,
      open: this.open(),
      changed: [...this.changed],
      failures: [...this.failures],
    };
  }

  restore(snapshot: FleetSnapshot): void {
    this.newestFence = snapshot.fence;
    this.holder = snapshot.holder;
    this.lastId = snapshot.lastId;
    this.openByTarget = new Map(
      snapshot.open.map(order => [order.targetId, order])
    );
    this.changed = new Map(snapshot.changed);
    this.failures = new Map(snapshot.failures);
  }
}
