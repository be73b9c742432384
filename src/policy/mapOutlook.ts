/** What the leader of expert maps knows that bears on the length of passes. */

import {FIRST_SKEW} from './shiftHistory';

/** State of the map of a group. */
export interface MapOutlook {
  /** Highest load of a rank over the mean under the map in force. */
  readonly skew: number;
  /** Whether that was worked out from the demand of this epoch. */
  readonly isKnown: boolean;
  /** The same right after the shifts of demand that came lately; 0 when none. */
  readonly shiftSkew: number;
  /** That of the shift that may come now; 0 while none is due. */
  readonly dueSkew: number;
  /** Whether a switch holds passes up, or did a moment ago. */
  readonly isHeld: boolean;
  /** Times that the work of the slowest rank takes as long as usual. */
  readonly slowness: number;
}

/** Without experts, or before anything is known of them. */
export const EVEN_OUTLOOK: MapOutlook = {
  skew: 1,
  isKnown: true,
  shiftSkew: 0,
  dueSkew: 0,
  isHeld: false,
  slowness: 1,
};

/** A group that nobody has ordered yet: it begins with the first map. */
export const FIRST_MAP_OUTLOOK: MapOutlook = {
  skew: FIRST_SKEW,
  isKnown: false,
  shiftSkew: FIRST_SKEW,
  dueSkew: FIRST_SKEW,
  isHeld: false,
  slowness: 1,
};
