/** The measures of `npm run bench`, in the order of the report. */

import type {Measure} from './measure';

/** One entry a measure; each stands in a file of its own in bench/measures. */
export const MEASURES: readonly Measure[] = [];
