/**
 * The targets and processes that poll this instance. The table is kept in
 * memory only: it is built from polls, lost on a restart, and complete again
 * after one poll interval.
 */

import {isNewer, keepLeaving} from '../core/announcements';
import type {
  Announcement,
  PollRequest,
  UnchangedAnnouncement,
} from '../core/wire';
import {shouldPublish} from './announcementThrottle';
import {GroupSlowdowns} from './groupSlowdowns';

/** A target or process that has not polled for this long is removed. */
export const MEMBER_TTL_MS = 3_000;
/** Minimum time between two scans for members that stopped polling. */
const EXPIRY_CHECK_INTERVAL_MS = 100;
/** How long a removed boot is kept to reject its late announcements. */
const TOMBSTONE_TTL_MS = 60_000;

interface TargetRecord {
  readonly announcement: Announcement;
  readonly lastPollAtMs: number;
  /**
   * The announcement as last published to entries. Every entry that holds this
   * version holds exactly this announcement.
   */
  readonly published: Announcement;
  readonly publishedAtMs: number;
  readonly version: number;
}

interface Tombstone {
  readonly bootAtMs: number;
  readonly seq: number;
  readonly atMs: number;
  readonly version: number;
}

/** A process as of its last poll. */
export interface ProcessRecord {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly bootId: string;
  readonly availabilityZone: string;
  readonly heldRevision: number;
  readonly lastPollAtMs: number;
  readonly provenAgeMs?: number;
}

/** Changes of the published announcements since a version. */
export interface MemberChanges {
  readonly version: number;
  readonly full: boolean;
  readonly changed: readonly Announcement[];
  readonly removed: readonly string[];
}

/** Targets of one pool. */
interface Pool {
  readonly ids: Set<string>;
  /**
   * Version at which a target was last added, removed or changed in a field
   * that the choice of subsets depends on.
   */
  version: number;
}

/** Members of the cluster; times are `performance.now()` in milliseconds. */
export class MemberTable {
  private readonly targets = new Map<string, TargetRecord>();
  private readonly tombstones = new Map<string, Tombstone>();
  private readonly processes = new Map<string, ProcessRecord>();
  private readonly pools = new Map<string, Pool>();
  private readonly groupSlowdowns = new GroupSlowdowns();
  private version = 0;
  private lastExpiryAtMs = -Infinity;

  /**
   * Records a poll. Returns false when the poll says that its announcement is
   * unchanged, but no earlier announcement of that boot is known here.
   */
  handlePoll(request: PollRequest, nowMs: number): boolean {
    const {
      processId,
      role,
      bootId,
      availabilityZone,
      heldRevision,
      provenAgeMs,
    } = request;
    this.processes.set(processId, {
      processId,
      role,
      bootId,
      availabilityZone,
      heldRevision,
      provenAgeMs,
      lastPollAtMs: nowMs,
    });
    if (request.announcement !== undefined)
      this.announce(request.announcement, nowMs);
    const {unchanged} = request;
    return unchanged === undefined || this.refreshUnchanged(unchanged, nowMs);
  }

  /**
   * Equivalent to receiving the last announcement again under a new sequence
   * number. A target that has been removed must send the whole announcement,
   * since what is known of it may be older than the removal.
   */
  private refreshUnchanged(
    {targetId, agentBootId, seq}: UnchangedAnnouncement,
    nowMs: number
  ): boolean {
    const known = this.targets.get(targetId)?.announcement;
    if (known?.agentBootId !== agentBootId) return false;
    this.announce({...known, seq}, nowMs);
    return true;
  }

  /**
   * Removes members that stopped polling. This is called at every poll, so it
   * scans only at intervals: a scan at every poll would make the total cost
   * quadratic in the number of members.
   */
  expire(nowMs: number): void {
    if (nowMs - this.lastExpiryAtMs < EXPIRY_CHECK_INTERVAL_MS) return;
    this.lastExpiryAtMs = nowMs;
    for (const [id, record] of this.targets) {
      if (nowMs - record.lastPollAtMs <= MEMBER_TTL_MS) continue;
      this.targets.delete(id);
      const {agentBootAtMs: bootAtMs, seq} = record.announcement;
      this.tombstones.set(id, {
        bootAtMs,
        seq,
        atMs: nowMs,
        version: ++this.version,
      });
      this.onPublishedChange(id, record.published, undefined);
    }
    for (const [id, {lastPollAtMs}] of this.processes) {
      if (nowMs - lastPollAtMs > MEMBER_TTL_MS) this.processes.delete(id);
    }
    for (const [id, {atMs}] of this.tombstones) {
      if (nowMs - atMs > TOMBSTONE_TTL_MS) this.tombstones.delete(id);
    }
  }

  /** Changes after version `since`; everything when it is undefined. */
  changesSince(since: number | undefined): MemberChanges {
    const {version} = this;
    if (since === version)
      return {version, full: false, changed: [], removed: []};
    const from = since ?? -1;
    const changed = [...this.targets.values()]
      .filter(record => record.version > from)
      .map(record => record.published);
    const removed = [...this.tombstones]
      .filter(
        ([id, tombstone]) => tombstone.version > from && !this.targets.has(id)
      )
      .map(([id]) => id);
    return {version, full: since === undefined, changed, removed};
  }

  get currentVersion(): number {
    return this.version;
  }

  /** Pools with the version at which their candidates for subsets changed. */
  listPools(): ReadonlyMap<string, {readonly version: number}> {
    return this.pools;
  }

  /** Published announcements of the targets of a pool. */
  listPublished(pool: string): readonly Announcement[] {
    return [...(this.pools.get(pool)?.ids ?? [])].flatMap(id => {
      const told = this.targets.get(id)?.published;
      return told === undefined ? [] : [told];
    });
  }

  /** Published announcement of a target, with the slowdown of its group. */
  findPublished(targetId: string): Announcement | undefined {
    const record = this.targets.get(targetId);
    return record && this.groupSlowdowns.withGroupSlowdown(record.published);
  }

  /** Whether the published announcement of a target is newer than that. */
  changedAfter(targetId: string, version: number): boolean {
    return (this.targets.get(targetId)?.version ?? version) > version;
  }

  /** Called when the rules change which targets may be sent work. */
  markAllPoolsChanged(): void {
    this.version++;
    for (const pool of this.pools.values()) pool.version = this.version;
  }

  /** The newest announcement of a target, whether it was published or not. */
  find(targetId: string): Announcement | undefined {
    return this.targets.get(targetId)?.announcement;
  }

  listTargets(): readonly Announcement[] {
    return [...this.targets.values()].map(record => record.announcement);
  }

  listProcesses(): readonly ProcessRecord[] {
    return [...this.processes.values()];
  }

  private announce(announcement: Announcement, nowMs: number): void {
    const {targetId} = announcement;
    const record = this.targets.get(targetId);
    const known = record?.announcement;
    if (known !== undefined && !isNewer(announcement, known)) return;
    const tombstone = this.tombstones.get(targetId);
    if (
      tombstone !== undefined &&
      isOlderThanTombstone(announcement, tombstone)
    )
      return;
    this.tombstones.delete(targetId);
    const merged =
      known === undefined ? announcement : keepLeaving(known, announcement);
    const keepsPublished =
      record !== undefined &&
      !shouldPublish(record.published, merged, nowMs - record.publishedAtMs);
    this.targets.set(targetId, {
      announcement: merged,
      lastPollAtMs: nowMs,
      published: keepsPublished ? record.published : merged,
      publishedAtMs: keepsPublished ? record.publishedAtMs : nowMs,
      version: keepsPublished ? record.version : ++this.version,
    });
    if (!keepsPublished)
      this.onPublishedChange(targetId, record?.published, merged);
  }

  /** Updates pools and groups for a new published announcement, or none. */
  private onPublishedChange(
    targetId: string,
    before: Announcement | undefined,
    after: Announcement | undefined
  ): void {
    if (subsetCriteria(before) !== subsetCriteria(after)) {
      this.touchPool(before?.pool)?.ids.delete(targetId);
      this.touchPool(after?.pool)?.ids.add(targetId);
    }
    const groupIds = new Set([before?.group?.id, after?.group?.id]);
    for (const groupId of groupIds) {
      for (const id of this.groupSlowdowns.update(targetId, groupId, after)) {
        const rank = this.targets.get(id);
        if (rank !== undefined)
          this.targets.set(id, {...rank, version: this.version});
      }
    }
  }

  /** Returns the pool, marked as changed at the current version. */
  private touchPool(pool: string | undefined): Pool | undefined {
    if (pool === undefined) return undefined;
    const known = this.pools.get(pool) ?? {ids: new Set<string>(), version: 0};
    known.version = this.version;
    this.pools.set(pool, known);
    return known;
  }
}

/** The fields on which the choice of entries' subsets depends, as a key. */
function subsetCriteria(
  published: Announcement | undefined
): string | undefined {
  if (published === undefined) return undefined;
  const {pool, availabilityZone, state, limit} = published;
  return JSON.stringify([pool, availabilityZone, state, limit > 0]);
}

function isOlderThanTombstone(
  candidate: Announcement,
  tombstone: Tombstone
): boolean {
  if (candidate.agentBootAtMs !== tombstone.bootAtMs) {
    return candidate.agentBootAtMs < tombstone.bootAtMs;
  }
  return candidate.seq <= tombstone.seq;
}
