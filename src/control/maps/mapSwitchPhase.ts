/** Phases of the controller side of a map switch. */

import type {ExpertMap} from '../../core/mapMessages';
import type {MapDecisionCommand} from '../state/command';
import type {AbortReason} from './mapSwitchEvents';

/** One attempt to switch; `reason` is set when it is being aborted. */
export interface Attempt {
  readonly command: MapDecisionCommand;
  readonly map: ExpertMap;
  readonly promised: ReadonlySet<number>;
  readonly deadlineMs: number;
  readonly reason?: AbortReason;
}

/** State of one control instance in the switches of a group. */
export type Phase =
  | {readonly kind: 'following'}
  | {readonly kind: 'fencing'}
  | {readonly kind: 'idle'; readonly fence: number}
  | {
      readonly kind: 'preparing' | 'deciding';
      readonly fence: number;
      readonly attempt: Attempt;
    };
