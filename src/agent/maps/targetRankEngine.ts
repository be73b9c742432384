/** The engine beside this agent, as the rank's controller needs it. */

import {PeerError} from '../../core/errors';
import type {PrepareMessage, StageMessage} from '../../core/mapMessages';
import type {
  TargetAdapter,
  TargetObservation,
  TargetOrder,
} from '../../target/targetAdapter';
import type {DecideOrder, RankEngine, StartOrder} from './rankEngine';
import type {EngineView, PrepareResult} from './rankSwitch';

const ORDER_TIMEOUT_MS = 2_000;
/** Weights come from a store that grants them slowly. */
const STAGE_TIMEOUT_MS = 60_000;

/** One engine through its adapter. */
export class TargetRankEngine implements RankEngine {
  constructor(
    private readonly adapter: TargetAdapter,
    /** A fresh look; rejects when the engine does not answer. */
    private readonly look: () => Promise<TargetObservation>
  ) {}

  async observe(): Promise<EngineView> {
    const {bootId, group} = await this.look();
    if (group === undefined || bootId === undefined)
      throw this.failure('the engine is in no group');
    // A rank that holds without a prepared map has none at all yet.
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
    const isAhead = previous !== undefined && step < current.switchStep;
    for (const committed of isAhead ? [previous, current] : [current]) {
      const {version, switchStep, map} = committed;
      await this.obey({kind: 'prepareMap', fence, version, switchStep, ...map});
      await this.obey({kind: 'decideMap', fence, version, decision: 'commit'});
    }
  }

  async stageExpert({fence, expert, slot}: StageMessage): Promise<void> {
    await this.obey(
      {kind: 'loadExpert', fence, expert, slot},
      STAGE_TIMEOUT_MS
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
    await this.obey({kind: 'decideMap', fence, version, decision});
  }

  private send(order: TargetOrder, timeoutMs = ORDER_TIMEOUT_MS) {
    return this.adapter.order(order, AbortSignal.timeout(timeoutMs));
  }

  private async obey(order: TargetOrder, timeoutMs?: number): Promise<void> {
    const answer = await this.send(order, timeoutMs);
    if (answer.kind !== 'done')
      throw this.failure(`${order.kind}: ${answer.kind}`);
  }

  private failure(detail: string): PeerError {
    return new PeerError(
      {kind: 'rejected', code: 0},
      'target',
      this.adapter.peer,
      detail
    );
  }
}
