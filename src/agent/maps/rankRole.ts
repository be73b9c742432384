/**
 * The agent's part in a rank group: map switches and reports of expert counts.
 */

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
const RETRY_INTERVAL_MS = 200;
const OBSERVE_INTERVAL_MS = 100;
/**
 * An order takes effect within this time or never; more than ORDER_TIMEOUT_MS
 * of TargetRankEngine.
 */
const MAX_ORDER_DELAY_MS = 2_500;
const COUNTS_REPORT_INTERVAL_MS = 1_000;

/** Starts once the target reports a rank group; otherwise does nothing. */
export class RankRole {
  private readonly subscription = new Subscription();
  private controller: RankController | undefined;
  private counts: number[] = [];
  private countsSinceMs = performance.now();
  private seq = 0;

  constructor(
    private readonly core: AgentCore,
    private readonly instances: readonly PeerClient[],
    private readonly probe: () => Promise<TargetObservation>
  ) {}

  /** Called with the result of every periodic probe. */
  onProbe(observation: TargetObservation): void {
    const {group} = observation;
    if (group === undefined) return;
    this.controller ??= this.startController(group.id, group.rank);
    this.addCounts(observation.expertCounts ?? []);
    this.reportCounts(group.id, group.rank, group.step);
  }

  receive(message: ToRankMessage): void {
    this.controller?.receive(message);
  }

  stop(): void {
    this.subscription.unsubscribe();
  }

  private startController(group: string, rank: number): RankController {
    const {core} = this;
    const controller = new RankController(
      {
        group,
        rank,
        agentBootId: core.agentBootId,
        bootAtMs: performance.now(),
        maxOrderDelayMs: MAX_ORDER_DELAY_MS,
        retryIntervalMs: RETRY_INTERVAL_MS,
        observeIntervalMs: OBSERVE_INTERVAL_MS,
      },
      new TargetRankEngine(core.adapter, () => this.probeAndCount()),
      {send: message => this.send(message)},
      core.metrics,
      core.logger
    );
    this.subscription.add(controller.start());
    return controller;
  }

  /**
   * Each observation has the counts since the previous one, so all must be
   * added.
   */
  private async probeAndCount(): Promise<TargetObservation> {
    const observation = await this.probe();
    this.addCounts(observation.expertCounts ?? []);
    return observation;
  }

  /**
   * Sends to every instance; the leader handles it, and messages may be lost.
   */
  private send(message: FromRankMessage): void {
    for (const instance of this.instances) {
      instance
        .call(METHODS.map, message, SEND_TIMEOUT_MS)
        .catch((err: unknown) => {
          this.core.logger.debug(
            {err: String(err)},
            `could not deliver a map message (${message.kind}) to control instance ${instance.address.id}`
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
    if (spanMs < COUNTS_REPORT_INTERVAL_MS || this.counts.length === 0) return;
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
