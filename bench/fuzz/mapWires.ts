/** What travels in the model of map switches. */

import type {
  SwitchAction,
  SwitchEvent,
} from '../../src/control/maps/mapSwitchEvents';
import type {FromRankMessage, ToRankMessage} from '../../src/core/mapMessages';
import type {EngineAnswer, EngineOrder} from './lockStepEngine';

/** Between controllers and agents. */
export type Wire =
  | {readonly kind: 'toRank'; readonly message: ToRankMessage}
  | {readonly kind: 'fromRank'; readonly message: FromRankMessage};

/** Between a controller and the log: nothing is repeated, answers get lost. */
export interface LogWire {
  readonly boot: number;
  readonly action?: SwitchAction;
  readonly event?: SwitchEvent;
}

/** Between an agent and its engine: in order, never lost while both live. */
export interface EngineWire {
  readonly agentBoot: number;
  readonly engineBoot: number;
  readonly order?: EngineOrder;
  readonly answer?: EngineAnswer;
}
