/**
 * Carries out orders to load another model. The gate is closed during a change.
 * The order is sent to the target only after its running requests have ended
 * and the leader has confirmed that the order is still open, since the target
 * itself may accept outdated orders.
 */

import type {
  ModelOrder,
  ModelOrderAnswer,
  OrderCheckAnswer,
} from '../../core/fleetMessages';
import {unreachable} from '../../core/errors';
import type {
  OrderAnswer,
  TargetObservation,
  TargetOrder,
} from '../../target/targetAdapter';

/** The agent's gate, target and leader, as a model change uses them. */
export interface ModelChangeContext {
  /** Closes the gate: nothing new starts at the target. */
  close(): void;
  /** Opens the gate; `changed`: weights were loaded, so the target is cold. */
  reopen(changed: boolean): void;
  /** Requests of this agent that are running. */
  outstanding(): number;
  observe(): Promise<TargetObservation>;
  order(order: TargetOrder): Promise<OrderAnswer>;
  /** Asks the leader which order is open; rejects when no leader responds. */
  checkOrder(): Promise<OrderCheckAnswer>;
  pause(): Promise<void>;
  nowMs(): number;
}

/** A load that takes longer counts as failed. */
const LOAD_TIMEOUT_MS = 30 * 60_000;
const CHANGING: ModelOrderAnswer = {kind: 'changing'};

/**
 * `dropped`: abandoned without a result; an order that is still open is resent.
 */
type Outcome = ModelOrderAnswer | 'dropped';

/** Handles the model orders of one target, one at a time. */
export class ModelChange {
  private fence = 0;
  private lastOrder:
    {readonly id: number; answer: ModelOrderAnswer} | undefined;

  constructor(private readonly context: ModelChangeContext) {}

  /**
   * Called once at the start, with the gate closed; opens it when no order is
   * open. An earlier agent boot may have sent an order that the target is still
   * carrying out, and requests that start meanwhile would end under another
   * model.
   */
  async recover(): Promise<void> {
    while (this.lastOrder === undefined) {
      const check = await this.context.checkOrder().catch(() => undefined);
      this.fence = Math.max(this.fence, check?.fence ?? 0);
      // An order arrived meanwhile; its end opens the gate.
      if (this.lastOrder !== undefined) return;
      if (check !== undefined && check.openId === undefined)
        return this.context.reopen(false);
      await this.context.pause();
    }
  }

  /** Starts the order, or returns its state if it is a repeat. */
  receive(order: ModelOrder): ModelOrderAnswer {
    if (order.fence < this.fence)
      return {kind: 'fenced', highestFence: this.fence};
    this.fence = order.fence;
    const {lastOrder} = this;
    if (lastOrder?.id === order.id) return lastOrder.answer;
    if (lastOrder?.answer.kind === 'changing') return CHANGING;
    this.lastOrder = {id: order.id, answer: CHANGING};
    void this.run(order);
    return CHANGING;
  }

  private async run(order: ModelOrder): Promise<void> {
    const outcome = await this.change(order).catch((): Outcome => 'dropped');
    this.context.reopen(outcome !== 'dropped' && outcome.kind === 'done');
    this.lastOrder =
      outcome === 'dropped' ? undefined : {id: order.id, answer: outcome};
  }

  private async change(order: ModelOrder): Promise<Outcome> {
    this.context.close();
    // An earlier leader or agent boot may have completed the order already.
    if (isServing(await this.waitUntilReady(), order)) return {kind: 'done'};
    await this.waitUntilIdle();
    const {fence, openId} = await this.context.checkOrder();
    this.fence = Math.max(this.fence, fence);
    // A replaced leader may have sent this order long ago, and it may have been
    // superseded. No later check would stop it.
    if (openId !== order.id) return 'dropped';
    return this.loadModel(order, fence);
  }

  /** Waits for the requests of this agent boot and of earlier ones. */
  private async waitUntilIdle(): Promise<void> {
    while (this.context.outstanding() > 0) await this.context.pause();
    const endedAtMs = this.context.nowMs();
    for (;;) {
      const {load} = await this.context.observe();
      if (load === undefined) return;
      const isMeasuredAfterEnd =
        this.context.nowMs() - load.loadAgeMs >= endedAtMs;
      if (isMeasuredAfterEnd && load.running + load.waiting === 0) return;
      await this.context.pause();
    }
  }

  private async loadModel(wanted: ModelOrder, fence: number): Promise<Outcome> {
    const {model, modelVersion} = wanted;
    const load = {kind: 'loadModel', fence, model, modelVersion} as const;
    const answer = await this.sendUntilAnswered(load);
    switch (answer.kind) {
      case 'done': {
        const observation = await this.waitUntilReady();
        if (isServing(observation, wanted)) return {kind: 'done'};
        const actualModel = `${observation.model} ${observation.modelVersion}`;
        return {kind: 'failed', detail: `the target holds ${actualModel}`};
      }
      // A newer leader has sent an order; it resends what is still open.
      case 'fenced':
        return 'dropped';
      case 'failed':
        return {kind: 'failed', detail: answer.detail};
      case 'unsupported':
        return {kind: 'failed', detail: 'the target knows no such order'};
      default:
        return unreachable(answer);
    }
  }

  /**
   * An order without a response may still take effect at any time, so the gate
   * stays closed and the order is resent. Loading the same model twice is safe.
   */
  private async sendUntilAnswered(order: TargetOrder): Promise<OrderAnswer> {
    const deadlineAt = this.context.nowMs() + LOAD_TIMEOUT_MS;
    for (;;) {
      const answer = await this.context.order(order).catch(() => undefined);
      if (answer !== undefined) return answer;
      if (this.context.nowMs() >= deadlineAt)
        throw new Error(
          'the target did not respond to the order within the load timeout'
        );
      await this.context.pause();
    }
  }

  /** Rejects when the target is not ready within the load timeout. */
  private async waitUntilReady(): Promise<TargetObservation> {
    const deadlineAt = this.context.nowMs() + LOAD_TIMEOUT_MS;
    for (;;) {
      const observation = await this.context.observe().catch(() => undefined);
      if (observation?.state === 'ready') return observation;
      if (this.context.nowMs() >= deadlineAt)
        throw new Error(
          'the target did not become ready within the load timeout'
        );
      await this.context.pause();
    }
  }
}

function isServing(seen: TargetObservation, order: ModelOrder): boolean {
  return seen.model === order.model && seen.modelVersion === order.modelVersion;
}
