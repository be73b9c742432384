/** State of the expert map of a group that determines pass durations. */

import {INITIAL_SKEW} from './shiftHistory';

/** Skews, now and after demand shifts, as the leader knows them. */
export interface MapOutlook {
  /** Max over mean load of ranks under the active map. */
  readonly skew: number;
  /** Highest skew right after a recent demand shift; 0 if there was none. */
  readonly shiftSkew: number;
  /** Expected skew after the next demand shift; 0 while none is due. */
  readonly dueSkew: number;
  /** Whether a map switch delays passes, or did a moment ago. */
  readonly isHeld: boolean;
}

/** Outlook without experts, or before anything is known about their load. */
export const EVEN_OUTLOOK: MapOutlook = {
  skew: 1,
  shiftSkew: 0,
  dueSkew: 0,
  isHeld: false,
};

/** Outlook of a group whose map no leader has changed yet: the initial one. */
export const FIRST_MAP_OUTLOOK: MapOutlook = {
  skew: INITIAL_SKEW,
  shiftSkew: INITIAL_SKEW,
  dueSkew: INITIAL_SKEW,
  isHeld: false,
};
