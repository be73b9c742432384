/**
 * The replicated part of orders for models: the fence of the instance that
 * gives them, which orders are out, and how the last ones ended. An order
 * stands here before any agent hears of it, so that the next leader finds it.
 */

import type {
  FleetEndCommand,
  FleetFenceCommand,
  FleetOrderCommand,
} from '../state/command';

/** An order that is not known to have ended. */
export interface OpenOrder {
  readonly id: number;
  readonly targetId: string;
  readonly model: string;
  readonly version: string;
  /** The rule that asked for it, in its one spelling. */
  readonly rule: string;
}

/** What a target was last changed to. */
export interface LoadedModel {
  readonly model: string;
  readonly version: string;
}

/** As stored in snapshots. */
export interface FleetSnapshot {
  readonly fence: number;
  readonly holder: string;
  readonly lastId: number;
  readonly open: readonly OpenOrder[];
  readonly changed: readonly (readonly [string, LoadedModel])[];
  readonly failures: readonly (readonly [string, number])[];
}

/** Whether a command counted. */
export interface FleetResult {
  readonly kind: 'recorded' | 'fenced';
}

const RECORDED: FleetResult = {kind: 'recorded'};
const FENCED: FleetResult = {kind: 'fenced'};

/** Applies fences, orders and their ends in log order. */
export class FleetState {
  private newestFence = 0;
  private holder = '';
  private lastId = 0;
  private openByTarget = new Map<string, OpenOrder>();
  private changed = new Map<string, LoadedModel>();
  private failures = new Map<string, number>();

  /** Highest fence given out; 0 before the first. */
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

  /** Orders for a rule that failed one after the other. */
  failuresOf(rule: string): number {
    return this.failures.get(rule) ?? 0;
  }

  applyFence({holder}: FleetFenceCommand): {readonly fence: number} {
    this.newestFence++;
    this.holder = holder;
    return {fence: this.newestFence};
  }

  applyOrder({fence, id, changes}: FleetOrderCommand): FleetResult {
    // What an older leader had not recorded in time must never be recorded: the
    // newer one has planned without it.
    if (fence !== this.newestFence) return FENCED;
    // A proposer whose answer was lost proposes the same again.
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
