/**
 * Whether groups of ranks are open, from the last announcements of their ranks.
 * A rank announces itself about once a second. A group is open or broken as a
 * whole, so the first rank that reports a change reports it for all; the other
 * announcements are up to a heartbeat old.
 */

import type {TargetRecord} from './announcement';

/** Status of one group, as its ranks report it. */
export interface GroupStatus {
  /** Latest epoch that a rank reported. */
  readonly epoch: number;
  readonly isOpen: boolean;
}

/** Status of groups by name. */
export type GroupStatuses = ReadonlyMap<string, GroupStatus>;

/** Uses the latest epoch; within one, a group may break but never reopens. */
export function groupStatuses(records: readonly TargetRecord[]): GroupStatuses {
  const statuses = new Map<string, GroupStatus>();
  for (const {group, state} of records) {
    if (group === undefined || state === 'gone') continue;
    const known = statuses.get(group.name);
    const {epoch} = group;
    if (known !== undefined && known.epoch > epoch) continue;
    const wasOpen = known?.epoch === epoch ? known.isOpen : true;
    statuses.set(group.name, {epoch, isOpen: wasOpen && group.open});
  }
  return statuses;
}

/** Whether the target works alone, or its group is open. */
export function isInOpenGroup(
  {group}: TargetRecord,
  statuses: GroupStatuses
): boolean {
  return group === undefined || statuses.get(group.name)?.isOpen === true;
}

/** Name of the target's group; empty when it works alone. */
export function groupNameOf({group}: Pick<TargetRecord, 'group'>): string {
  return group?.name ?? '';
}
