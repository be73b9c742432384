/** Gives the agent of a rank its part in the group's maps, once it is known. */

import {Subscription} from 'rxjs';
import type {
  ExpertCountsReport,
  FromRankMessage,
  ToRankMessage,
} from '../../core/mapMessages';
import {METHODS} from '../../rpc/messages';
import type {PeerClient} from '../../rpc/peerClient';
import type {TargetObservation} from '../../target/targetAdapter';
import type {AgentCore} from '../agentCore';
import {RankController} from './rankController';
import {TargetRankEngine} from './targetRankEngine';

const SEND_TIMEOUT_MS = 1_000;
const RETRY_MS = 200;
const OBSERVE_MS = 100;
/** An order that has not taken effect by then never will: see adapters. */
const QUIET_MS = 2_500;
const COUNTS_PERIOD_MS = 1_000;

/** Idle beside a target that is in no group. */
export class RankRole {
  private readonly subscription = new Subscription();
  private controller: RankController | undefined;
  private counts: number[] = [];
  private countsSinceMs = performance.now();
  private seq = 0;

  constructor(
    private readonly core: AgentCore,
    private readonly instances: readonly PeerClient[],
    private readonly look: () => Promise<TargetObservation>
  ) {}

  /** Called with every look at the target. */
  observed(seen: TargetObservation): void {
    const {group} = seen;
    if (group === undefined) return;
    this.controller ??= this.begin(group.id, group.rank);
    this.addCounts(seen.expertCounts ?? []);
    this.reportCounts(group.id, group.rank, group.step);
  }

  receive(message: ToRankMessage): void {
    this.controller?.receive(message);
  }

  stop(): void {
    this.subscription.unsubscribe();
  }

  private begin(group: string, rank: number): RankController {
    const {core} = this;
    const controller = new RankController(
      {
        group,
        rank,
        agentBootId: core.agentBootId,
        bootAtMs: performance.now(),
        quietMs: QUIET_MS,
        retryMs: RETRY_MS,
        observeMs: OBSERVE_MS,
      },
      new TargetRankEngine(core.adapter, () => this.lookAndCount()),
      {send: message => this.send(message)},
      core.metrics,
      core.logger
    );
    this.subscription.add(controller.start());
    return controller;
  }

  /** Each look takes the counts since the last one, so none may be dropped. */
  private async lookAndCount(): Promise<TargetObservation> {
    const seen = await this.look();
    this.addCounts(seen.expertCounts ?? []);
    return seen;
  }

  /** To every instance: whichever leads acts on it, and loss is expected. */
  private send(message: FromRankMessage): void {
    for (const instance of this.instances) {
      instance
        .call(METHODS.map, message, SEND_TIMEOUT_MS)
        .catch((err: unknown) => {
          this.core.logger.debug(
            {err: String(err)},
            'map message not delivered'
          );
        });
    }
  }

  private addCounts(counts: readonly number[]): void {
    counts.forEach((count, expert) => {
      this.counts[expert] = (this.counts[expert] ?? 0) + count;
    });
  }

  private reportCounts(group: string, rank: number, step: number): void {
    const nowMs = performance.now();
    const spanMs = nowMs - this.countsSinceMs;
    if (spanMs < COUNTS_PERIOD_MS || this.counts.length === 0) return;
    const report: ExpertCountsReport = {
      kind: 'expertCounts',
      group,
      rank,
      agentBootId: this.core.agentBootId,
      seq: ++this.seq,
      step,
      ageMs: spanMs / 2,
      counts: this.counts,
    };
    this.counts = [];
    this.countsSinceMs = nowMs;
    this.send(report);
  }
}
