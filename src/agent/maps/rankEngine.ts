/** Interface of the rank controller to its engine. */

import type {
  CommittedMap,
  PrepareMessage,
  StageMessage,
  SwitchId,
} from '../../core/mapMessages';
import type {EngineView, PrepareResult} from './rankMapSwitchEvents';

/** The maps for a rank that has just started. */
export interface StartOrder {
  readonly fence: number;
  readonly current: CommittedMap;
  /** For passes before `current.switchStep`. */
  readonly previous?: CommittedMap;
}

/** The decision on a switch; `fence` may be newer than that of the switch. */
export interface DecideOrder {
  readonly id: SwitchId;
  readonly fence: number;
  readonly decision: 'commit' | 'abort';
}

/**
 * One engine. Calls reject when the outcome is unknown. An engine that has just
 * started runs no pass before `startMap`. After `prepareMap` has returned
 * `held`, it runs no pass from the switch step on before `decideMap`.
 */
export interface RankEngine {
  observe(): Promise<EngineView>;
  /** Has no effect on an engine that is already running. */
  startMap(order: StartOrder): Promise<void>;
  /** Loads weights in addition to those in use. */
  stageExpert(order: StageMessage): Promise<void>;
  prepareMap(order: PrepareMessage): Promise<PrepareResult>;
  decideMap(order: DecideOrder): Promise<void>;
}
