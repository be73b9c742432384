/** What the leader of expert maps knows that bears on the length of passes. */

import {FIRST_SKEW} from './shiftHistory';

/** State of the map of a group. */
export interface MapOutlook {
  /** Highest load of a rank over the mean under the map in force. */
  readonly skew: number;
  /** The same right after the shifts of demand that came lately; 0 when none. */
  readonly shiftSkew: number;
  /** That of the shift that may come now; 0 while none is due. */
  readonly dueSkew: number;
  /** Whether a switch holds passes up, or did a moment ago. */
  readonly isHeld: boolean;
}

/** Without experts, or before anything is known of them. */
export const EVEN_OUTLOOK: MapOutlook = {
  skew: 1,
  shiftSkew: 0,
  dueSkew: 0,
  isHeld: false,
};

/** A group that nobody has ordered yet: it begins with the first map. */
export const FIRST_MAP_OUTLOOK: MapOutlook = {
  skew: FIRST_SKEW,
  shiftSkew: FIRST_SKEW,
  dueSkew: FIRST_SKEW,
  isHeld: false,
};
