/** The models that the fuzz command and CI run. */

import type {FuzzModel} from './fuzzModel';
import {LOG_MODEL} from './logModel';
import {QUEUE_MODEL} from './queueModel';
import {RAMP_MODEL} from './rampModel';
import {STREAM_MODEL} from './streamModel';

/** One entry a state machine. */
export const FUZZ_MODELS: readonly FuzzModel[] = [
  LOG_MODEL,
  STREAM_MODEL,
  QUEUE_MODEL,
  RAMP_MODEL,
];
