/**
 * The agent's side of an order for a model. The target takes nothing new while
 * it changes, and the order reaches it only after its work has ended and the
 * leader has confirmed that the order still stands: the target itself may obey
 * whatever it is sent.
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

/** What a change works with. */
export interface ChangeLink {
  /** From now on nothing new starts at the target. */
  close(): void;
  /** Work may start again; `changed`: the target is cold. */
  reopen(changed: boolean): void;
  /** Requests in hand at this agent. */
  outstanding(): number;
  look(): Promise<TargetObservation>;
  order(order: TargetOrder): Promise<OrderAnswer>;
  /** Asks the leader which order stands; rejects when there is none. */
  check(): Promise<OrderCheckAnswer>;
  pause(): Promise<void>;
  nowMs(): number;
}

/** A load that takes longer has failed. */
const LOAD_LIMIT_MS = 30 * 60_000;
const CHANGING: ModelOrderAnswer = {kind: 'changing'};

/** `dropped`: not carried out and not over; the leader sends it again. */
type Outcome = ModelOrderAnswer | 'dropped';

/** One target's orders, one at a time. */
export class ModelChange {
  private fence = 0;
  private last: {readonly id: number; answer: ModelOrderAnswer} | undefined;

  constructor(private readonly link: ChangeLink) {}

  /**
   * Called once at the start, with the gate shut. An earlier boot of the agent
   * may have let an order through that the target still carries out; work that
   * starts meanwhile would end under another model.
   */
  async learn(): Promise<void> {
    while (this.last === undefined) {
      const known = await this.link.check().catch(() => undefined);
      this.fence = Math.max(this.fence, known?.fence ?? 0);
      // The order itself opens the gate when it ends.
      if (this.last !== undefined) return;
      if (known !== undefined && known.openId === undefined)
        return this.link.reopen(false);
      await this.link.pause();
    }
  }

  /** Repeats are expected; the answer tells how far the order is. */
  receive(order: ModelOrder): ModelOrderAnswer {
    if (order.fence < this.fence)
      return {kind: 'fenced', highestFence: this.fence};
    this.fence = order.fence;
    const {last} = this;
    if (last?.id === order.id) return last.answer;
    if (last?.answer.kind === 'changing') return CHANGING;
    this.last = {id: order.id, answer: CHANGING};
    void this.run(order);
    return CHANGING;
  }

  private async run(order: ModelOrder): Promise<void> {
    const outcome = await this.change(order).catch((): Outcome => 'dropped');
    this.link.reopen(outcome !== 'dropped' && outcome.kind === 'done');
    this.last =
      outcome === 'dropped' ? undefined : {id: order.id, answer: outcome};
  }

  private async change(order: ModelOrder): Promise<Outcome> {
    this.link.close();
    // Taken over from an earlier leader or agent, it may be done already.
    if (holds(await this.ready(), order)) return {kind: 'done'};
    await this.workEnded();
    const {fence, openId} = await this.link.check();
    this.fence = Math.max(this.fence, fence);
    // A leader that was replaced may have sent this long ago; what it wanted
    // since may be the opposite, and no one else would stop it.
    if (openId !== order.id) return 'dropped';
    return this.carryOut(order, fence);
  }

  /** What this agent sent, and what an earlier boot of it may have sent. */
  private async workEnded(): Promise<void> {
    while (this.link.outstanding() > 0) await this.link.pause();
    const endedAtMs = this.link.nowMs();
    for (;;) {
      const {load} = await this.link.look();
      if (load === undefined) return;
      const isNew = this.link.nowMs() - load.loadAgeMs >= endedAtMs;
      if (isNew && load.running + load.waiting === 0) return;
      await this.link.pause();
    }
  }

  private async carryOut(wanted: ModelOrder, fence: number): Promise<Outcome> {
    const {model, modelVersion} = wanted;
    const load = {kind: 'loadModel', fence, model, modelVersion} as const;
    const answer = await this.answerTo(load);
    switch (answer.kind) {
      case 'done': {
        const seen = await this.ready();
        if (holds(seen, wanted)) return {kind: 'done'};
        const held = `${seen.model} ${seen.modelVersion}`;
        return {kind: 'failed', detail: `the target holds ${held}`};
      }
      // A newer leader has been here: it will send what it wants.
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
   * An order without an answer may still be obeyed at any time, so the gate
   * stays shut and the target is told again: loading the same twice is safe.
   */
  private async answerTo(order: TargetOrder): Promise<OrderAnswer> {
    const deadlineAt = this.link.nowMs() + LOAD_LIMIT_MS;
    for (;;) {
      const answer = await this.link.order(order).catch(() => undefined);
      if (answer !== undefined) return answer;
      if (this.link.nowMs() >= deadlineAt)
        throw new Error('the target answers no order');
      await this.link.pause();
    }
  }

  /** Rejects when the target is not ready in the longest time of a load. */
  private async ready(): Promise<TargetObservation> {
    const deadlineAt = this.link.nowMs() + LOAD_LIMIT_MS;
    for (;;) {
      const seen = await this.link.look().catch(() => undefined);
      if (seen?.state === 'ready') return seen;
      if (this.link.nowMs() >= deadlineAt)
        throw new Error('the target is not ready in time');
      await this.link.pause();
    }
  }
}

function holds(seen: TargetObservation, order: ModelOrder): boolean {
  return seen.model === order.model && seen.modelVersion === order.modelVersion;
}
