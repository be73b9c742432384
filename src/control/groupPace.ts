/**
 * The pace of each group of ranks, as entries are told. All ranks of a group
 * step together. An entry that follows some of them only would send work to a
 * group that a rank unknown to it holds up.
 */

import type {Announcement} from '../core/wire';

/** Slowdowns of the ranks of every group. */
export class GroupSlowdowns {
  private readonly groups = new Map<string, Map<string, number>>();
  private readonly slowdowns = new Map<string, number>();

  /**
   * Notes what is told of a target now, or that it is gone. Returns the other
   * ranks of its group when the pace of the group has changed.
   */
  update(
    targetId: string,
    groupId: string | undefined,
    published: Announcement | undefined
  ): readonly string[] {
    if (groupId === undefined) return [];
    const ranks = this.groups.get(groupId) ?? new Map<string, number>();
    this.groups.set(groupId, ranks);
    if (published?.group?.id === groupId)
      ranks.set(targetId, published.slowdown ?? 1);
    else ranks.delete(targetId);
    const before = this.slowdowns.get(groupId) ?? 1;
    const slowdown = Math.max(1, ...ranks.values());
    this.slowdowns.set(groupId, slowdown);
    if (ranks.size === 0) {
      this.groups.delete(groupId);
      this.slowdowns.delete(groupId);
    }
    if (slowdown === before) return [];
    return [...ranks.keys()].filter(id => id !== targetId);
  }

  /** What is told of a target, at the pace of its group. */
  withGroupSlowdown(announcement: Announcement): Announcement {
    const slowdown =
      announcement.group && this.slowdowns.get(announcement.group.id);
    if (slowdown === undefined || slowdown <= (announcement.slowdown ?? 1))
      return announcement;
    return {...announcement, slowdown};
  }
}
