/** The models that the fuzz command and CI run. */

import type {FuzzModel} from './fuzzModel';
import {LOG_MODEL} from './logModel';
import {MAP_MODEL} from './mapModel';
import {STREAM_MODEL} from './streamModel';

/** One entry a state machine. */
export const FUZZ_MODELS: readonly FuzzModel[] = [
  LOG_MODEL,
  MAP_MODEL,
  STREAM_MODEL,
];
