/**
 * Whether groups of ranks work, from what their ranks told last. A rank tells
 * of itself about once a second. A group is open or broken as a whole, so that
 * the first rank that tells of a change tells it for all: the others' word is
 * up to a heartbeat old.
 */

import type {TargetRecord} from './announcement';

/** One group as its ranks tell it. */
export interface GroupStatus {
  /** Newest epoch that a rank told of. */
  readonly epoch: number;
  readonly isOpen: boolean;
}

/** Groups by name. */
export type GroupStatuses = ReadonlyMap<string, GroupStatus>;

/** Goes by the newest epoch; within one, a group only ever breaks. */
export function groupOpenings(records: readonly TargetRecord[]): GroupStatuses {
  const openings = new Map<string, GroupStatus>();
  for (const {group, state} of records) {
    if (group === undefined || state === 'gone') continue;
    const known = openings.get(group.name);
    const {epoch} = group;
    if (known !== undefined && known.epoch > epoch) continue;
    const wasOpen = known?.epoch === epoch ? known.isOpen : true;
    openings.set(group.name, {epoch, isOpen: wasOpen && group.open});
  }
  return openings;
}

/** Whether the target works alone, or its group is open. */
export function isInOpenGroup(
  {group}: TargetRecord,
  openings: GroupStatuses
): boolean {
  return group === undefined || openings.get(group.name)?.isOpen === true;
}

/** Name of the target's group; empty when it works alone. */
export function groupNameOf({group}: Pick<TargetRecord, 'group'>): string {
  return group?.name ?? '';
}
