/**
 * Which targets and processes this instance hears from. Soft state: it is
 * built from polls, lost on a restart, and full again one poll later.
 */

import {isNewer, keepLeaving} from '../core/announcements';
import type {
  Announcement,
  PollRequest,
  UnchangedAnnouncement,
} from '../core/wire';
import {mustTell} from './announcedChange';
import {GroupPace} from './groupPace';

/** Silence after which a target or process is no longer listed. */
export const MEMBER_TTL_MS = 3_000;
/** Least time between two looks for what fell silent. */
const EXPIRY_PERIOD_MS = 100;
/** How long a removed boot is remembered, against late announcements. */
const TOMBSTONE_TTL_MS = 60_000;

interface Heard {
  readonly announcement: Announcement;
  readonly heardAtMs: number;
  /** As entries are told; every entry at this version holds exactly this. */
  readonly told: Announcement;
  readonly toldAtMs: number;
  readonly version: number;
}

interface Tombstone {
  readonly bootAtMs: number;
  readonly seq: number;
  readonly atMs: number;
  readonly version: number;
}

/** A process as last heard of. */
export interface HeardProcess {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly bootId: string;
  readonly availabilityZone: string;
  readonly heldRevision: number;
  readonly heardAtMs: number;
  readonly provenAgeMs?: number;
}

/** What changed since a version. */
export interface MemberChanges {
  readonly version: number;
  readonly full: boolean;
  readonly changed: readonly Announcement[];
  readonly removed: readonly string[];
}

/** Targets of one pool. */
interface Pool {
  readonly ids: Set<string>;
  /** When a target last came, left, or changed whether it may take work. */
  version: number;
}

/** The targets and processes heard of; times are `performance.now()` ms. */
export class MemberTable {
  private readonly targets = new Map<string, Heard>();
  private readonly tombstones = new Map<string, Tombstone>();
  private readonly processes = new Map<string, HeardProcess>();
  private readonly pools = new Map<string, Pool>();
  private readonly pace = new GroupPace();
  private version = 0;
  private expiredAtMs = -Infinity;

  /** Returns whether it holds what the request called unchanged. */
  heard(request: PollRequest, nowMs: number): boolean {
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
      heardAtMs: nowMs,
    });
    if (request.announcement !== undefined)
      this.announce(request.announcement, nowMs);
    const {unchanged} = request;
    return unchanged === undefined || this.repeat(unchanged, nowMs);
  }

  /**
   * The same as announcing it again. One that was dropped for silence has to
   * come whole: what is held of it may be older than the drop.
   */
  private repeat(
    {targetId, agentBootId, seq}: UnchangedAnnouncement,
    nowMs: number
  ): boolean {
    const known = this.targets.get(targetId)?.announcement;
    if (known?.agentBootId !== agentBootId) return false;
    this.announce({...known, seq}, nowMs);
    return true;
  }

  /**
   * Drops what fell silent. Called at each poll, but looked at all members each
   * time it would cost the square of their number.
   */
  expire(nowMs: number): void {
    if (nowMs - this.expiredAtMs < EXPIRY_PERIOD_MS) return;
    this.expiredAtMs = nowMs;
    for (const [id, heard] of this.targets) {
      if (nowMs - heard.heardAtMs <= MEMBER_TTL_MS) continue;
      this.targets.delete(id);
      const {agentBootAtMs: bootAtMs, seq} = heard.announcement;
      this.tombstones.set(id, {
        bootAtMs,
        seq,
        atMs: nowMs,
        version: ++this.version,
      });
      this.noteTold(id, heard.told, undefined);
    }
    for (const [id, {heardAtMs}] of this.processes) {
      if (nowMs - heardAtMs > MEMBER_TTL_MS) this.processes.delete(id);
    }
    for (const [id, {atMs}] of this.tombstones) {
      if (nowMs - atMs > TOMBSTONE_TTL_MS) this.tombstones.delete(id);
    }
  }

  /** Changes after `since`; everything when `since` is undefined. */
  changesSince(since: number | undefined): MemberChanges {
    const {version} = this;
    if (since === version)
      return {version, full: false, changed: [], removed: []};
    const from = since ?? -1;
    const changed = [...this.targets.values()]
      .filter(heard => heard.version > from)
      .map(heard => heard.told);
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

  /** Pools, with the version at which the subsets of their targets changed. */
  listPools(): ReadonlyMap<string, {readonly version: number}> {
    return this.pools;
  }

  /** What entries are told of the targets of a pool. */
  toldOfPool(pool: string): readonly Announcement[] {
    return [...(this.pools.get(pool)?.ids ?? [])].flatMap(id => {
      const told = this.targets.get(id)?.told;
      return told === undefined ? [] : [told];
    });
  }

  /** What entries are told of a target now. */
  toldOf(targetId: string): Announcement | undefined {
    const heard = this.targets.get(targetId);
    return heard && this.pace.withPace(heard.told);
  }

  /** Whether what entries are told of a target changed after a version. */
  changedAfter(targetId: string, version: number): boolean {
    return (this.targets.get(targetId)?.version ?? version) > version;
  }

  /** The rules changed which targets may take work. */
  usabilityChanged(): void {
    this.version++;
    for (const pool of this.pools.values()) pool.version = this.version;
  }

  /** The newest announcement of a target, whoever follows it. */
  find(targetId: string): Announcement | undefined {
    return this.targets.get(targetId)?.announcement;
  }

  listTargets(): readonly Announcement[] {
    return [...this.targets.values()].map(heard => heard.announcement);
  }

  listProcesses(): readonly HeardProcess[] {
    return [...this.processes.values()];
  }

  private announce(announcement: Announcement, nowMs: number): void {
    const {targetId} = announcement;
    const heard = this.targets.get(targetId);
    const known = heard?.announcement;
    if (known !== undefined && !isNewer(announcement, known)) return;
    const tombstone = this.tombstones.get(targetId);
    if (tombstone !== undefined && isBuried(announcement, tombstone)) return;
    this.tombstones.delete(targetId);
    const merged =
      known === undefined ? announcement : keepLeaving(known, announcement);
    const isOld =
      heard !== undefined &&
      !mustTell(heard.told, merged, nowMs - heard.toldAtMs);
    this.targets.set(targetId, {
      announcement: merged,
      heardAtMs: nowMs,
      told: isOld ? heard.told : merged,
      toldAtMs: isOld ? heard.toldAtMs : nowMs,
      version: isOld ? heard.version : ++this.version,
    });
    if (!isOld) this.noteTold(targetId, heard?.told, merged);
  }

  /** What entries are told of a target has changed. */
  private noteTold(
    targetId: string,
    before: Announcement | undefined,
    after: Announcement | undefined
  ): void {
    if (usabilityOf(before) !== usabilityOf(after)) {
      this.poolOf(before?.pool)?.ids.delete(targetId);
      this.poolOf(after?.pool)?.ids.add(targetId);
    }
    const groupIds = new Set([before?.group?.id, after?.group?.id]);
    for (const groupId of groupIds) {
      for (const id of this.pace.note(targetId, groupId, after)) {
        const rank = this.targets.get(id);
        if (rank !== undefined)
          this.targets.set(id, {...rank, version: this.version});
      }
    }
  }

  /** The pool, marked as changed. */
  private poolOf(pool: string | undefined): Pool | undefined {
    if (pool === undefined) return undefined;
    const known = this.pools.get(pool) ?? {ids: new Set<string>(), version: 0};
    known.version = this.version;
    this.pools.set(pool, known);
    return known;
  }
}

/** What decides which entries follow a target. */
function usabilityOf(told: Announcement | undefined): string | undefined {
  if (told === undefined) return undefined;
  const {pool, availabilityZone, state, limit} = told;
  return JSON.stringify([pool, availabilityZone, state, limit > 0]);
}

function isBuried(candidate: Announcement, tombstone: Tombstone): boolean {
  if (candidate.agentBootAtMs !== tombstone.bootAtMs) {
    return candidate.agentBootAtMs < tombstone.bootAtMs;
  }
  return candidate.seq <= tombstone.seq;
}
