/** The models that the fuzz command and CI run. */

import type {FuzzModel} from './fuzzModel';
import {queueModel} from './queueModel';
import {rampModel} from './rampModel';

/** One entry a state machine. */
export const FUZZ_MODELS: readonly FuzzModel[] = [queueModel, rampModel];
