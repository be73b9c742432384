/** Implements the rank engine on the adapter of the agent's target. */

import {PeerError} from '../../core/errors';
import type {PrepareMessage, StageMessage} from '../../core/mapMessages';
import type {
  TargetAdapter,
  TargetObservation,
  TargetOrder,
} from '../../target/targetAdapter';
import type {DecideOrder, RankEngine, StartOrder} from './rankEngine';
import type {EngineView, PrepareResult} from './rankMapSwitchEvents';

const ORDER_TIMEOUT_MS = 2_000;
/** The weight store limits the rate of loads, so one may take long. */
const WEIGHT_LOAD_TIMEOUT_MS = 60_000;

/** The agent's target as the engine of a rank. */
export class TargetRankEngine implements RankEngine {
  constructor(
    private readonly adapter: TargetAdapter,
    /** Observes the engine now; rejects when it does not respond. */
    private readonly probe: () => Promise<TargetObservation>
  ) {}

  async observe(): Promise<EngineView> {
    const {bootId, group} = await this.probe();
    if (group === undefined || bootId === undefined)
      throw this.rejection('the engine reports no rank group or no boot id');
    // A rank that holds without a prepared map has not received a map yet.
    const running = !group.holding || group.preparedVersion !== undefined;
    return {
      bootId,
      running,
      step: group.step + 1,
      mapVersion: group.mapVersion,
      preparedVersion: group.preparedVersion,
    };
  }

  async startMap({fence, current, previous}: StartOrder): Promise<void> {
    const {step} = await this.observe();
    const needsPreviousMap =
      previous !== undefined && step < current.switchStep;
    for (const committed of needsPreviousMap
      ? [previous, current]
      : [current]) {
      const {version, switchStep, map} = committed;
      await this.sendOrThrow({
        kind: 'prepareMap',
        fence,
        version,
        switchStep,
        ...map,
      });
      await this.sendOrThrow({
        kind: 'decideMap',
        fence,
        version,
        decision: 'commit',
      });
    }
  }

  async stageExpert({fence, expert, slot}: StageMessage): Promise<void> {
    await this.sendOrThrow(
      {kind: 'loadExpert', fence, expert, slot},
      WEIGHT_LOAD_TIMEOUT_MS
    );
  }

  async prepareMap({
    fence,
    version,
    switchStep,
    map,
  }: PrepareMessage): Promise<PrepareResult> {
    const answer = await this.send({
      kind: 'prepareMap',
      fence,
      version,
      switchStep,
      ...map,
    });
    if (answer.kind === 'done') return 'held';
    const {step} = await this.observe();
    return step > switchStep ? 'passed' : 'failed';
  }

  async decideMap({id, fence, decision}: DecideOrder): Promise<void> {
    const {version} = id;
    await this.sendOrThrow({kind: 'decideMap', fence, version, decision});
  }

  private send(order: TargetOrder, timeoutMs = ORDER_TIMEOUT_MS) {
    return this.adapter.order(order, AbortSignal.timeout(timeoutMs));
  }

  private async sendOrThrow(
    order: TargetOrder,
    timeoutMs?: number
  ): Promise<void> {
    const answer = await this.send(order, timeoutMs);
    if (answer.kind !== 'done')
      throw this.rejection(`${order.kind}: ${answer.kind}`);
  }

  private rejection(detail: string): PeerError {
    return new PeerError(
      {kind: 'rejected', code: 0},
      'target',
      this.adapter.peer,
      detail
    );
  }
}
