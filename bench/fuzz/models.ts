/** The models that the fuzz command and CI run. */

import type {FuzzModel} from './fuzzModel';
import {LOG_MODEL} from './logModel';
import {streamModel} from './streamModel';

/** One entry a state machine. */
export const FUZZ_MODELS: readonly FuzzModel[] = [LOG_MODEL, streamModel];
