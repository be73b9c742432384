/**
 * The slowdown of each group of ranks, which is that of its slowest rank since
 * all ranks run each pass together. An entry that follows only some ranks would
 * otherwise send work to a group that is slowed by a rank unknown to it.
 */

import type {Announcement} from '../core/wire';

/** Slowdowns of the ranks of every group. */
export class GroupSlowdowns {
  private readonly groups = new Map<string, Map<string, number>>();
  private readonly slowdowns = new Map<string, number>();

  /**
   * Records the published announcement of a target, or undefined when it was
   * removed. Returns the other targets of the group when the slowdown of the
   * group has changed.
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

  /** The announcement with the slowdown of its group, where that is larger. */
  withGroupSlowdown(announcement: Announcement): Announcement {
    const slowdown =
      announcement.group && this.slowdowns.get(announcement.group.id);
    if (slowdown === undefined || slowdown <= (announcement.slowdown ?? 1))
      return announcement;
    return {...announcement, slowdown};
  }
}
