/** The models that the fuzz command and CI run. */

import type {FuzzModel} from './fuzzModel';
import {MAP_MODEL} from './mapModel';

/** One entry a state machine. */
export const FUZZ_MODELS: readonly FuzzModel[] = [MAP_MODEL];
