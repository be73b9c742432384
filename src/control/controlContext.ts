/** Dependencies of the RPC methods of a control instance. */

import type {Logger} from '../core/logger';
import type {EntryViews} from './entryViews';
import type {ReplicatedLog} from './log/replicatedLog';
import type {MemberTable} from './memberTable';
import type {RecentRules} from './recentRules';
import type {ControlState} from './state/controlState';
import type {UsageTable} from './usageTable';
import type {ZoneStatusCache} from './zoneStatusCache';

/** The components of one control instance. */
export interface ControlContext {
  readonly instanceId: string;
  readonly bootId: string;
  readonly log: ReplicatedLog;
  readonly state: ControlState;
  readonly members: MemberTable;
  readonly entryViews: EntryViews;
  readonly zones: ZoneStatusCache;
  readonly recentRules: RecentRules;
  readonly usage: UsageTable;
  readonly logger: Logger;
}
