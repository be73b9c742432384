/** Messages in the model of map switches. */

import type {
  SwitchAction,
  SwitchEvent,
} from '../../src/control/maps/mapSwitchEvents';
import type {FromRankMessage, ToRankMessage} from '../../src/core/mapMessages';
import type {EngineAnswer, EngineOrder} from './lockStepEngine';

/** Between a controller and an agent. */
export type RankMessage =
  | {readonly kind: 'toRank'; readonly message: ToRankMessage}
  | {readonly kind: 'fromRank'; readonly message: FromRankMessage};

/** Between a controller and the log: never duplicated, replies can be lost. */
export interface LogRpcMessage {
  readonly boot: number;
  readonly action?: SwitchAction;
  readonly event?: SwitchEvent;
}

/** Between an agent and its engine: not lost while both processes run. */
export interface EngineMessage {
  readonly agentBoot: number;
  readonly engineBoot: number;
  readonly order?: EngineOrder;
  readonly answer?: EngineAnswer;
}
