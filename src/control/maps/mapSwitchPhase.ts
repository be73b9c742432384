/** Phases of the controller's side of a switch. */

import type {ExpertMap} from '../../core/mapMessages';
import type {MapDecisionCommand} from '../state/command';
import type {AbortReason} from './mapSwitchEvents';

/** One attempt; `reason` is set once it is to be aborted. */
export interface Attempt {
  readonly command: MapDecisionCommand;
  readonly map: ExpertMap;
  readonly promised: ReadonlySet<number>;
  readonly deadlineMs: number;
  readonly reason?: AbortReason;
}

/** Where one control instance stands with the switches of a group. */
export type Phase =
  | {readonly kind: 'following'}
  | {readonly kind: 'fencing'}
  | {readonly kind: 'idle'; readonly fence: number}
  | {
      readonly kind: 'preparing' | 'deciding';
      readonly fence: number;
      readonly attempt: Attempt;
    };
