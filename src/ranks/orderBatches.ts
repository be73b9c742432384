/** Batches equal orders, to encode and log each once for all its ranks. */

import {unreachable} from '../core/errors';
import type {OrderAnswer, RankOrder} from '../ports/rankPort';
import type {OutgoingOrder} from './switchPhase';

/** One order and the ranks that receive it. */
export interface OrderBatch {
  readonly order: RankOrder;
  readonly ranks: readonly number[];
}

/** Groups equal orders into batches. */
export function batchOrders(
  orders: readonly OutgoingOrder[]
): readonly OrderBatch[] {
  const batches = new Map<string, {order: RankOrder; ranks: number[]}>();
  for (const {rank, order} of orders) {
    const key = batchKey(order);
    const batch = batches.get(key) ?? {order, ranks: []};
    batch.ranks.push(rank);
    batches.set(key, batch);
  }
  return [...batches.values()];
}

/** Equal for equal orders: a version identifies one map. */
function batchKey(order: RankOrder): string {
  switch (order.kind) {
    case 'prepare':
    case 'disarm':
      return `${order.kind} ${order.version}`;
    case 'arm':
      return `arm ${order.version} ${order.pass}`;
    case 'hold':
    case 'go':
      return `${order.kind} ${order.pass}`;
    default:
      return unreachable(order);
  }
}

/** Responses to one batch, counted by outcome. */
export class AnswerTally {
  private readonly counts = new Map<OrderAnswer, number>();
  private reason: string | undefined;

  /** Counts a response; keeps the text of the first one that is not `done`. */
  note(answer: OrderAnswer, text: string | undefined): void {
    this.counts.set(answer, (this.counts.get(answer) ?? 0) + 1);
    if (answer !== 'done') this.reason ??= text;
  }

  /** Fields for a log line. */
  get fields(): Readonly<Record<string, number | string>> {
    const counts = Object.fromEntries(this.counts);
    return this.reason === undefined
      ? counts
      : {...counts, reason: this.reason};
  }
}
