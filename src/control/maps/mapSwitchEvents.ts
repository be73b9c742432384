/** Events and actions of the controller side of a map switch. */

import type {
  ExpertMap,
  SwitchId,
  SwitchMessage,
  ToRankMessage,
} from '../../core/mapMessages';
import type {FenceCommand, MapDecisionCommand} from '../state/command';
import type {GroupMaps} from './mapState';

/** Why a switch was aborted. */
export type AbortReason =
  | 'timeout'
  | 'passed'
  | 'load-failed'
  | 'fenced'
  /** A rank has restarted and needs the active map. */
  | 'joined';

/** How a switch ended. */
export type SwitchResult =
  | {readonly kind: 'switched'; readonly map: ExpertMap}
  | {readonly kind: 'aborted'; readonly reason: AbortReason};

/** Input of the controller side. */
export type SwitchEvent =
  /** This instance became the leader; it does nothing until it has a fence. */
  | {readonly kind: 'lead'}
  | {readonly kind: 'resign'}
  | {readonly kind: 'fence'; readonly fence: number}
  /** Result of a proposed decision. */
  | {
      readonly kind: 'decided';
      readonly version: number;
      readonly result: 'recorded' | 'fenced';
    }
  /**
   * State of the group, read behind a barrier that began after the `read`
   * action with that seq.
   */
  | {readonly kind: 'read'; readonly seq: number; readonly maps: GroupMaps}
  | {
      readonly kind: 'start';
      readonly map: ExpertMap;
      /** Estimated highest pass number of any rank. */
      readonly step: number;
    }
  | {
      readonly kind: 'message';
      readonly message: SwitchMessage;
    }
  | {readonly kind: 'tick'};

/** Output of the controller side, carried out by its caller. */
export type SwitchAction =
  | {readonly kind: 'propose'; readonly command: FenceCommand}
  | {readonly kind: 'propose'; readonly command: MapDecisionCommand}
  /** Pass a read barrier, then handle the event `read`. */
  | {readonly kind: 'read'; readonly seq: number}
  /** Pass a read barrier, then send the outcome, if decided, to the rank. */
  | {readonly kind: 'answerQuery'; readonly id: SwitchId; readonly rank: number}
  | {
      readonly kind: 'send';
      readonly rank: number;
      readonly message: ToRankMessage;
    }
  | {readonly kind: 'ended'; readonly result: SwitchResult};

/** Settings of the switches of one group; times in milliseconds. */
export interface MapSwitchConfig {
  readonly group: string;
  readonly ranks: number;
  readonly holder: string;
  /** First map of a group that has none. */
  readonly initialMap: ExpertMap;
  /** Passes from the highest known one to the switch. */
  readonly marginPasses: number;
  readonly maxMarginPasses: number;
  readonly promiseTimeoutMs: number;
  readonly resendMs: number;
  /**
   * Time after which a proposal without a reply is repeated. It must exceed the
   * usual latency of the log, since a second fence invalidates the first.
   */
  readonly proposeRetryMs: number;
}
