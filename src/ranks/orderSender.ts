/** Sends the orders of one group to its ranks, and passes on the responses. */

import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {
  OrderAnswer,
  OrderScope,
  RankCall,
  RankCodec,
  RankOrder,
} from '../ports/rankPort';
import type {ZonedAddress} from '../policy/relayPlan';
import type {OrderBatch} from './orderBatches';
import {AnswerTally, batchOrders} from './orderBatches';
import type {FanOutSummary, RankCallKind, RankTransport} from './rankTransport';
import type {RankAnswer} from './rankClient';
import type {OutgoingOrder, SwitchEvent} from './switchPhase';

/** Dependencies of an order sender. */
export interface OrderSenderParts {
  /** Name of the group. */
  readonly name: string;
  readonly scope: OrderScope;
  readonly ranks: readonly (ZonedAddress & {readonly id: string})[];
  readonly codec: RankCodec;
  readonly transport: RankTransport;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
}

/** Sends orders to the ranks of one group, in batches of equal orders. */
export class OrderSender {
  private readonly queuedOrders: OutgoingOrder[] = [];

  constructor(
    private readonly parts: OrderSenderParts,
    private readonly onAnswer: (event: SwitchEvent) => void
  ) {}

  /**
   * Queues orders and sends them in a microtask, so that responses that arrive
   * together lead to one batch for all their ranks.
   */
  send(orders: readonly OutgoingOrder[]): void {
    if (orders.length === 0) return;
    if (this.queuedOrders.length === 0) queueMicrotask(() => this.flush());
    this.queuedOrders.push(...orders);
  }

  /** Logs one line per fan-out, independent of the number of ranks. */
  logFanOut(
    kind: RankCallKind,
    summary: FanOutSummary,
    tally?: AnswerTally
  ): void {
    const {name, logger} = this.parts;
    logger.info(
      {event: 'map.fanout', group: name, kind, ...summary, ...tally?.fields},
      `called ${summary.sent} ranks, ${summary.answered} responded`
    );
  }

  private flush(): void {
    const orders = this.queuedOrders.splice(0);
    for (const batch of batchOrders(orders)) void this.sendBatch(batch);
  }

  private async sendBatch({order, ranks: indexes}: OrderBatch): Promise<void> {
    const {ranks, codec, scope, transport} = this.parts;
    const call: RankCall = codec.orderCall(order, scope);
    const tally = new AnswerTally();
    const batchRanks = indexes.flatMap(index => ranks[index] ?? []);
    const summary = await transport.callAll(
      batchRanks,
      order.kind,
      call,
      (rank, result) => {
        const answer = this.readAnswer(order, result);
        tally.note(answer, result?.text);
        const index = ranks.indexOf(rank);
        this.onAnswer({kind: 'answer', rank: index, order, answer});
      }
    );
    this.logFanOut(order.kind, summary, tally);
  }

  private readAnswer(
    {kind}: RankOrder,
    result: RankAnswer | undefined
  ): OrderAnswer {
    const {codec, metrics} = this.parts;
    const answer =
      result === undefined ? 'unknown' : codec.readOrderStatus(result.status);
    metrics.ordered(kind, answer);
    return answer;
  }
}
