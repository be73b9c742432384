/** What the parts of one entry share. */

import type https from 'node:https';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import type {ControlSync} from '../sync/controlSync';
import type {RetryBudgets} from './retryBudgets';
import type {TargetLoad} from './targetLoad';
import type {UsageCounter} from './usageCounter';
import type {ZoneReturns} from './zoneReturns';

/** One entry's parts. */
export interface EntryCore {
  readonly entryId: string;
  readonly availabilityZone: string;
  readonly sync: ControlSync;
  readonly load: TargetLoad;
  readonly budgets: RetryBudgets;
  readonly usage: UsageCounter;
  readonly zoneReturns: ZoneReturns;
  /** Connections to agents: kept open, and one for each call. */
  readonly keptAgent: https.Agent;
  readonly singleAgent: https.Agent;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly random: () => number;
}
