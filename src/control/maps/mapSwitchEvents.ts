/** What the controller's side of a switch reacts to, and what it asks for. */

import type {
  ExpertMap,
  SwitchId,
  SwitchMessage,
  ToRankMessage,
} from '../../core/mapMessages';
import type {FenceCommand, MapDecisionCommand} from '../state/command';
import type {GroupMaps} from './mapState';

/** Why a switch was given up. */
export type AbortReason =
  | 'timeout'
  | 'passed'
  | 'load-failed'
  | 'fenced'
  /** A rank has restarted and needs to know what is in force. */
  | 'joined';

/** How a switch ended. */
export type SwitchResult =
  | {readonly kind: 'switched'; readonly map: ExpertMap}
  | {readonly kind: 'aborted'; readonly reason: AbortReason};

/** What the controller's side reacts to. */
export type SwitchEvent =
  /** This instance now leads; nothing is done before a fence is held. */
  | {readonly kind: 'lead'}
  | {readonly kind: 'resign'}
  | {readonly kind: 'fence'; readonly fence: number}
  /** Result of a proposed decision. */
  | {
      readonly kind: 'decided';
      readonly version: number;
      readonly result: 'recorded' | 'fenced';
    }
  /** What the log holds, behind a barrier begun after the `read` of that seq. */
  | {readonly kind: 'read'; readonly seq: number; readonly maps: GroupMaps}
  | {
      readonly kind: 'start';
      readonly map: ExpertMap;
      /** Highest step known of any rank. */
      readonly step: number;
    }
  | {
      readonly kind: 'message';
      readonly message: SwitchMessage;
    }
  | {readonly kind: 'tick'};

/** What is to be done. */
export type SwitchAction =
  | {readonly kind: 'propose'; readonly command: FenceCommand}
  | {readonly kind: 'propose'; readonly command: MapDecisionCommand}
  /** Pass a read barrier, then come back with `read`. */
  | {readonly kind: 'read'; readonly seq: number}
  /** Pass a read barrier, then tell the rank the outcome, if there is one. */
  | {readonly kind: 'answerQuery'; readonly id: SwitchId; readonly rank: number}
  | {
      readonly kind: 'send';
      readonly rank: number;
      readonly message: ToRankMessage;
    }
  | {readonly kind: 'ended'; readonly result: SwitchResult};

/** The group, and times in milliseconds. */
export interface MapSwitchConfig {
  readonly group: string;
  readonly ranks: number;
  readonly holder: string;
  /** Map of a group that has never had one. */
  readonly initialMap: ExpertMap;
  /** Steps from the highest known one to the switch. */
  readonly marginSteps: number;
  readonly maxMarginSteps: number;
  readonly promiseTimeoutMs: number;
  readonly resendMs: number;
  /**
   * Time after which a proposal without answer is made again; above the usual
   * delay of the log, since a fence that is asked for twice voids the first.
   */
  readonly proposeRetryMs: number;
}
