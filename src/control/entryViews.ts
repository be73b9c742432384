/**
 * What each entry is told of the targets: a bounded subset of each pool. Soft
 * state, by entry; one that holds something else than is noted here, as after
 * a lost answer, is told its subset whole.
 */

import type {Announcement, PollRequest} from '../core/wire';
import {SubsetCandidate, chooseSubset, hashId} from '../policy/subset';
import {MEMBER_TTL_MS, MemberChanges, MemberTable} from './memberTable';

interface PoolView {
  readonly version: number;
  readonly size: number;
  readonly ids: readonly string[];
}

/** One entry, as last answered. */
interface EntryView {
  readonly bootId: string;
  readonly version: number;
  readonly ids: ReadonlySet<string>;
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
  ): MemberChanges {
    if (subset === undefined) return this.members.changesSince(since);
    this.expire(nowMs);
    this.follow(zones);
    const known = this.views.get(processId);
    const held =
      known?.bootId === bootId && known.version === since ? known : undefined;
    const version = this.members.currentVersion;
    if (held?.version === version) {
      this.views.set(processId, {...held, atMs: nowMs});
      return {version, full: false, changed: [], removed: []};
    }
    const pools = this.poolViews(processId, subset, known?.pools, zones);
    const ids = new Set([...pools.values()].flatMap(pool => pool.ids));
    this.views.set(processId, {bootId, version, ids, pools, atMs: nowMs});
    return {
      version,
      full: held === undefined,
      changed: this.changed(ids, held),
      removed: [...(held?.ids ?? [])].filter(id => !ids.has(id)),
    };
  }

  private changed(
    ids: ReadonlySet<string>,
    held: EntryView | undefined
  ): readonly Announcement[] {
    const isNew = (id: string) => held === undefined || !held.ids.has(id);
    return [...ids].flatMap(id => {
      const after = isNew(id) ? -1 : (held?.version ?? -1);
      const told = this.members.toldAfter(id, after);
      return told === undefined ? [] : [told];
    });
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
      const hash = hashId(`${entryId}/${pool}`);
      const chosen = chooseSubset(hash, candidates, size);
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
        hash: hashId(targetId),
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
