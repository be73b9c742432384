/** What the rank side needs of the engine beside it. */

import type {
  CommittedMap,
  PrepareMessage,
  StageMessage,
  SwitchId,
} from '../../core/mapMessages';
import type {EngineView, PrepareResult} from './rankSwitch';

/** The maps with which a rank that has just started is to run. */
export interface StartOrder {
  readonly fence: number;
  readonly current: CommittedMap;
  /** For steps below `current.switchStep`. */
  readonly previous?: CommittedMap;
}

/** What became of a switch; its own fence may be older than `fence`. */
export interface DecideOrder {
  readonly id: SwitchId;
  readonly fence: number;
  readonly decision: 'commit' | 'abort';
}

/**
 * One engine. Calls reject when the outcome is not known. An engine that has
 * just started runs no step before `startMap`, and once it has answered `held`
 * it runs none from the switch step on before `decideMap`.
 */
export interface RankEngine {
  observe(): Promise<EngineView>;
  /** Has no effect on an engine that already runs. */
  startMap(order: StartOrder): Promise<void>;
  /** Loads weights beside those in use. */
  stageExpert(order: StageMessage): Promise<void>;
  prepareMap(order: PrepareMessage): Promise<PrepareResult>;
  decideMap(order: DecideOrder): Promise<void>;
}
