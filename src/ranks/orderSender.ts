/** Sends the orders of one group to its ranks, and tells what they answered. */

import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {
  OrderAnswer,
  OrderScope,
  RankCall,
  RankCodec,
  RankOrder,
} from '../ports/rankPort';
import type {Located} from '../policy/relayPlan';
import type {OrderBatch} from './orderBatches';
import {AnswerTally, orderBatches} from './orderBatches';
import type {FanOutSummary, RankCallKind, RankCaller} from './rankCaller';
import type {RankAnswer} from './rankClient';
import type {SentOrder, SwitchEvent} from './switchPhase';

/** What a sender needs. */
export interface OrderSenderParts {
  /** Name of the group. */
  readonly name: string;
  readonly scope: OrderScope;
  readonly ranks: readonly (Located & {readonly id: string})[];
  readonly codec: RankCodec;
  readonly caller: RankCaller;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
}

/** Orders of one group. */
export class OrderSender {
  private readonly unsent: SentOrder[] = [];

  constructor(
    private readonly parts: OrderSenderParts,
    private readonly onAnswer: (event: SwitchEvent) => void
  ) {}

  /** Answers that arrive together are followed by one order for all their ranks. */
  send(orders: readonly SentOrder[]): void {
    if (orders.length === 0) return;
    if (this.unsent.length === 0) queueMicrotask(() => this.flush());
    this.unsent.push(...orders);
  }

  /** One line for a fan-out, whatever the number of ranks. */
  logFanOut(
    kind: RankCallKind,
    summary: FanOutSummary,
    tally?: AnswerTally
  ): void {
    const {name, logger} = this.parts;
    logger.info(
      {event: 'map.fanout', group: name, kind, ...summary, ...tally?.fields},
      'ranks called'
    );
  }

  private flush(): void {
    const orders = this.unsent.splice(0);
    for (const batch of orderBatches(orders)) void this.sendBatch(batch);
  }

  private async sendBatch({order, ranks: indexes}: OrderBatch): Promise<void> {
    const {ranks, codec, scope, caller} = this.parts;
    const call: RankCall = codec.orderCall(order, scope);
    const tally = new AnswerTally();
    const ofBatch = indexes.flatMap(index => ranks[index] ?? []);
    const summary = await caller.callAll(
      ofBatch,
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
