/** List of the models that the fuzz command and CI run. */

import type {FuzzModel} from './fuzzModel';
import {ADMISSION_MODEL} from './admissionModel';
import {CRASHING_REQUEST_MODEL} from './crashingRequestModel';
import {FRESHNESS_MODEL} from './freshnessModel';
import {LOG_MODEL} from './logModel';
import {LOSS_MODEL} from './lossModel';
import {MAP_MODEL} from './mapModel';
import {ONCE_MODEL} from './onceModel';
import {QUEUE_MODEL} from './queueModel';
import {QUARANTINE_MODEL} from './quarantineModel';
import {RAMP_MODEL} from './rampModel';
import {RATE_LIMIT_MODEL} from './rateLimitModel';
import {REST_MODEL} from './restModel';
import {SLOW_DISK_MODEL} from './slowDiskModel';
import {STREAM_MODEL} from './streamModel';
import {VOTER_MODEL} from './voterModel';

/** One model per decision state machine. */
export const FUZZ_MODELS: readonly FuzzModel[] = [
  ADMISSION_MODEL,
  CRASHING_REQUEST_MODEL,
  FRESHNESS_MODEL,
  LOG_MODEL,
  LOSS_MODEL,
  MAP_MODEL,
  ONCE_MODEL,
  QUARANTINE_MODEL,
  QUEUE_MODEL,
  RAMP_MODEL,
  RATE_LIMIT_MODEL,
  REST_MODEL,
  SLOW_DISK_MODEL,
  STREAM_MODEL,
  VOTER_MODEL,
];
