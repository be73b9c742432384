/**
 * Selects the targets that each entry follows, a bounded subset of each pool,
 * and computes the changes to send with its next poll. The state is kept in
 * memory only. An entry that holds another version than recorded here, for
 * example after a lost reply, receives its subset whole.
 */

import {diffAnnouncements} from '../core/announcements';
import type {
  Announcement,
  AnnouncementUpdate,
  MembersAnswer,
  PollRequest,
} from '../core/wire';
import {
  SubsetCandidate,
  chooseSubset,
  entrySeed,
  targetKey,
} from '../policy/subset';
import {MEMBER_TTL_MS, MemberTable} from './memberTable';

interface PoolSubset {
  readonly version: number;
  readonly size: number;
  readonly ids: readonly string[];
}

/** What one entry received with the last reply. */
interface EntryView {
  readonly bootId: string;
  readonly version: number;
  /** Announcements of its targets as last sent, by target. */
  readonly sent: ReadonlyMap<string, Announcement>;
  readonly pools: ReadonlyMap<string, PoolSubset>;
  readonly atMs: number;
}

interface PoolCandidates {
  readonly version: number;
  readonly candidates: readonly SubsetCandidate[];
}

/** The zones that the rules applied here take out of service. */
export interface ZoneStatus {
  readonly revision: number;
  isZoneOut(availabilityZone: string): boolean;
}

/** The state of all entries that poll this instance. */
export class EntryViews {
  private readonly views = new Map<string, EntryView>();
  private readonly pools = new Map<string, PoolCandidates>();
  private revision = 0;
  private lastExpiryAtMs = 0;

  constructor(private readonly members: MemberTable) {}

  /**
   * Changes for the entry since the version that it holds; everything when
   * `since` is undefined or is not the version that was last sent to it.
   */
  changesFor(
    {processId, bootId, subset}: PollRequest,
    since: number | undefined,
    zones: ZoneStatus,
    nowMs: number
  ): MembersAnswer {
    if (subset === undefined) return this.members.changesSince(since);
    this.expire(nowMs);
    this.applyZones(zones);
    const known = this.views.get(processId);
    const held =
      known?.bootId === bootId && known.version === since ? known : undefined;
    const version = this.members.currentVersion;
    if (held?.version === version) {
      this.views.set(processId, {...held, atMs: nowMs});
      return {version};
    }
    const pools = this.selectSubsets(processId, subset, known?.pools, zones);
    const next = this.collectAnnouncements(pools, held);
    this.views.set(processId, {
      bootId,
      version,
      sent: next,
      pools,
      atMs: nowMs,
    });
    if (held === undefined)
      return {version, full: true, changed: [...next.values()]};
    return {version, ...diffMembers(held.sent, next)};
  }

  /** Keeps the same object for each target whose announcement is unchanged. */
  private collectAnnouncements(
    pools: EntryView['pools'],
    held: EntryView | undefined
  ): EntryView['sent'] {
    const announcements = new Map<string, Announcement>();
    for (const {ids} of pools.values()) {
      for (const id of ids) {
        const known = held?.sent.get(id);
        const isUnchanged =
          known !== undefined &&
          held !== undefined &&
          !this.members.changedAfter(id, held.version);
        const current = isUnchanged ? known : this.members.findPublished(id);
        if (current !== undefined) announcements.set(id, current);
      }
    }
    return announcements;
  }

  /** A zone that goes out of service or returns can change every subset. */
  private applyZones({revision}: ZoneStatus): void {
    if (revision === this.revision) return;
    this.revision = revision;
    this.members.markAllPoolsChanged();
  }

  private selectSubsets(
    entryId: string,
    size: number,
    known: EntryView['pools'] | undefined,
    zones: ZoneStatus
  ): ReadonlyMap<string, PoolSubset> {
    const subsets = new Map<string, PoolSubset>();
    for (const [pool, {version}] of this.members.listPools()) {
      const knownSubset = known?.get(pool);
      if (knownSubset?.version === version && knownSubset.size === size) {
        subsets.set(pool, knownSubset);
        continue;
      }
      const candidates = this.candidatesOf(pool, version, zones);
      // The seed includes the pool. Otherwise entries that get the same subset
      // in one pool would get the same subset in all pools.
      const seed = entrySeed(`${entryId}/${pool}`);
      const chosen = chooseSubset(seed, candidates, size);
      const ids = chosen.map(({targetId}) => targetId);
      subsets.set(pool, {version, size, ids});
    }
    return subsets;
  }

  private candidatesOf(
    pool: string,
    version: number,
    zones: ZoneStatus
  ): readonly SubsetCandidate[] {
    const known = this.pools.get(pool);
    if (known?.version === version) return known.candidates;
    const candidates = this.members
      .listPublished(pool)
      .map(({targetId, availabilityZone, state, limit}) => ({
        targetId,
        availabilityZone,
        usable:
          state === 'serving' &&
          limit > 0 &&
          !zones.isZoneOut(availabilityZone),
        key: targetKey(targetId),
      }));
    this.pools.set(pool, {version, candidates});
    return candidates;
  }

  private expire(nowMs: number): void {
    if (nowMs - this.lastExpiryAtMs < MEMBER_TTL_MS) return;
    this.lastExpiryAtMs = nowMs;
    for (const [id, {atMs}] of this.views)
      if (nowMs - atMs > MEMBER_TTL_MS) this.views.delete(id);
  }
}

/** The difference between the announcements that an entry holds and `next`. */
function diffMembers(
  held: EntryView['sent'],
  next: EntryView['sent']
): Omit<MembersAnswer, 'version'> {
  const changed: Announcement[] = [];
  const updated: AnnouncementUpdate[] = [];
  for (const [id, current] of next) {
    const known = held.get(id);
    if (known === current) continue;
    if (known?.agentBootId === current.agentBootId)
      updated.push(diffAnnouncements(known, current));
    else changed.push(current);
  }
  const removed = [...held.keys()].filter(id => !next.has(id));
  return {
    changed: changed.length > 0 ? changed : undefined,
    updated: updated.length > 0 ? updated : undefined,
    removed: removed.length > 0 ? removed : undefined,
  };
}
