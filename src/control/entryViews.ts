/**
 * What each entry is told of the targets: a bounded subset of each pool. Soft
 * state, by entry; one that holds something else than is noted here, as after
 * a lost answer, is told its subset whole.
 */

import {updateOf} from '../core/announcements';
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

interface PoolView {
  readonly version: number;
  readonly size: number;
  readonly ids: readonly string[];
}

/** One entry, as last answered. */
interface EntryView {
  readonly bootId: string;
  readonly version: number;
  /** Its subset, as it was told. */
  readonly told: ReadonlyMap<string, Announcement>;
  readonly pools: ReadonlyMap<string, PoolView>;
  readonly atMs: number;
}

interface PoolCandidates {
  readonly version: number;
  readonly candidates: readonly SubsetCandidate[];
}

/** The zones that the rules in force here take out, with their revision. */
export interface ZonesInForce {
  readonly revision: number;
  isZoneOut(availabilityZone: string): boolean;
}

/** The views of all entries that ask this instance. */
export class EntryViews {
  private readonly views = new Map<string, EntryView>();
  private readonly pools = new Map<string, PoolCandidates>();
  private revision = 0;
  private expiredAtMs = 0;

  constructor(private readonly members: MemberTable) {}

  /** Changes since what the entry holds; `since` as in `changesSince`. */
  changesFor(
    {processId, bootId, subset}: PollRequest,
    since: number | undefined,
    zones: ZonesInForce,
    nowMs: number
  ): MembersAnswer {
    if (subset === undefined) return this.members.changesSince(since);
    this.expire(nowMs);
    this.follow(zones);
    const known = this.views.get(processId);
    const held =
      known?.bootId === bootId && known.version === since ? known : undefined;
    const version = this.members.currentVersion;
    if (held?.version === version) {
      this.views.set(processId, {...held, atMs: nowMs});
      return {version};
    }
    const pools = this.poolViews(processId, subset, known?.pools, zones);
    const told = this.toldTo(pools, held);
    this.views.set(processId, {bootId, version, told, pools, atMs: nowMs});
    if (held === undefined)
      return {version, full: true, changed: [...told.values()]};
    return {version, ...difference(held.told, told)};
  }

  /** What did not change keeps its identity. */
  private toldTo(
    pools: EntryView['pools'],
    held: EntryView | undefined
  ): EntryView['told'] {
    const told = new Map<string, Announcement>();
    for (const {ids} of pools.values()) {
      for (const id of ids) {
        const known = held?.told.get(id);
        const isOld =
          known !== undefined &&
          held !== undefined &&
          !this.members.changedAfter(id, held.version);
        const now = isOld ? known : this.members.toldOf(id);
        if (now !== undefined) told.set(id, now);
      }
    }
    return told;
  }

  /** A zone that goes out or comes back changes every subset. */
  private follow({revision}: ZonesInForce): void {
    if (revision === this.revision) return;
    this.revision = revision;
    this.members.usabilityChanged();
  }

  private poolViews(
    entryId: string,
    size: number,
    known: EntryView['pools'] | undefined,
    zones: ZonesInForce
  ): ReadonlyMap<string, PoolView> {
    const views = new Map<string, PoolView>();
    for (const [pool, {version}] of this.members.listPools()) {
      const view = known?.get(pool);
      if (view?.version === version && view.size === size) {
        views.set(pool, view);
        continue;
      }
      const candidates = this.candidatesOf(pool, version, zones);
      // By pool, or all entries that are alike in one would be in all.
      const seed = entrySeed(`${entryId}/${pool}`);
      const chosen = chooseSubset(seed, candidates, size);
      const ids = chosen.map(({targetId}) => targetId);
      views.set(pool, {version, size, ids});
    }
    return views;
  }

  private candidatesOf(
    pool: string,
    version: number,
    zones: ZonesInForce
  ): readonly SubsetCandidate[] {
    const known = this.pools.get(pool);
    if (known?.version === version) return known.candidates;
    const candidates = this.members
      .toldOfPool(pool)
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
    if (nowMs - this.expiredAtMs < MEMBER_TTL_MS) return;
    this.expiredAtMs = nowMs;
    for (const [id, {atMs}] of this.views)
      if (nowMs - atMs > MEMBER_TTL_MS) this.views.delete(id);
  }
}

/** The way from what an entry holds to its subset now. */
function difference(
  held: EntryView['told'],
  told: EntryView['told']
): Omit<MembersAnswer, 'version'> {
  const changed: Announcement[] = [];
  const updated: AnnouncementUpdate[] = [];
  for (const [id, now] of told) {
    const known = held.get(id);
    if (known === now) continue;
    if (known?.agentBootId === now.agentBootId)
      updated.push(updateOf(known, now));
    else changed.push(now);
  }
  const removed = [...held.keys()].filter(id => !told.has(id));
  return {
    changed: changed.length > 0 ? changed : undefined,
    updated: updated.length > 0 ? updated : undefined,
    removed: removed.length > 0 ? removed : undefined,
  };
}
