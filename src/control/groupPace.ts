/**
 * The pace of each group of ranks, as entries are told. All ranks of a group
 * step together. An entry that follows some of them only would send work to a
 * group that a rank unknown to it holds up.
 */

import type {Announcement} from '../core/wire';

/** Slowdowns of the ranks of every group. */
export class GroupPace {
  private readonly groups = new Map<string, Map<string, number>>();
  private readonly paces = new Map<string, number>();

  /**
   * Notes what is told of a target now, or that it is gone. Returns the other
   * ranks of its group when the pace of the group has changed.
   */
  note(
    targetId: string,
    groupId: string | undefined,
    told: Announcement | undefined
  ): readonly string[] {
    if (groupId === undefined) return [];
    const ranks = this.groups.get(groupId) ?? new Map<string, number>();
    this.groups.set(groupId, ranks);
    if (told?.group?.id === groupId) ranks.set(targetId, told.slowdown ?? 1);
    else ranks.delete(targetId);
    const before = this.paces.get(groupId) ?? 1;
    const pace = Math.max(1, ...ranks.values());
    this.paces.set(groupId, pace);
    if (ranks.size === 0) {
      this.groups.delete(groupId);
      this.paces.delete(groupId);
    }
    if (pace === before) return [];
    return [...ranks.keys()].filter(id => id !== targetId);
  }

  /** What is told of a target, at the pace of its group. */
  withPace(told: Announcement): Announcement {
    const pace = told.group && this.paces.get(told.group.id);
    if (pace === undefined || pace <= (told.slowdown ?? 1)) return told;
    return {...told, slowdown: pace};
  }
}
