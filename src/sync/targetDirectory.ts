/**
 * The targets that an entry knows, merged from the poll replies of all control
 * instances. There is one view per instance, so that the outdated view of a
 * partitioned instance can be dropped without affecting the others.
 */

import {applyUpdate, isNewer, keepLeaving} from '../core/announcements';
import type {Announcement, MembersAnswer, PollAnswer} from '../core/wire';

/** The view of an instance that has been silent for longer is dropped. */
const VIEW_TTL_MS = 5_000;

/** A version that no instance ever sends; asks for the full list. */
const NO_VERSION = -1;

interface View {
  readonly bootId: string;
  readonly targets: Map<string, Announcement>;
  version: number;
  repliedAtMs: number;
}

/** Ages of the content of an announcement, milliseconds. */
export interface AnnouncementAges {
  /** Time since it first arrived. */
  readonly sinceArrivalMs: number;
  /**
   * Time since a control instance last replied without a newer announcement of
   * the target: until then no change was large enough to affect a choice.
   */
  readonly sinceConfirmationMs: number;
}

/** One merged view; times are `performance.now()` milliseconds. */
export class TargetDirectory {
  private readonly views = new Map<string, View>();
  /** When the newest announcement of each target first arrived. */
  private readonly arrivals = new Map<
    string,
    {readonly bootAndSeq: string; readonly atMs: number}
  >();
  private merged: readonly Announcement[] | undefined;

  apply(answer: PollAnswer, nowMs: number): void {
    const {members, instanceId, bootId} = answer;
    if (members === undefined) return;
    const known = this.views.get(instanceId);
    const isIncremental =
      known !== undefined && known.bootId === bootId && !members.full;
    const view: View = isIncremental
      ? known
      : {
          bootId,
          targets: new Map(),
          version: members.version,
          repliedAtMs: nowMs,
        };
    const fits = applyMembers(view, members);
    // After an update for a target that is not held here, the next poll asks
    // for the full list.
    view.version = fits ? members.version : NO_VERSION;
    view.repliedAtMs = nowMs;
    this.views.set(instanceId, view);
    const {changed, updated, removed} = members;
    if (!isIncremental || changed?.length || updated?.length || removed?.length)
      this.merged = undefined;
  }

  /**
   * What is held from an instance; the next poll asks for later changes only.
   */
  cursorFor(
    instanceId: string
  ): {readonly bootId: string; readonly version: number} | undefined {
    const view = this.views.get(instanceId);
    return view === undefined
      ? undefined
      : {bootId: view.bootId, version: view.version};
  }

  /**
   * Drops the views of silent instances, unless all are silent. When all of
   * control is down, entries keep using the last known targets, and the agents
   * refuse what must not run.
   */
  expire(nowMs: number): void {
    const silent = [...this.views].filter(
      ([, view]) => nowMs - view.repliedAtMs > VIEW_TTL_MS
    );
    if (silent.length === 0 || silent.length === this.views.size) return;
    for (const [instanceId] of silent) this.views.delete(instanceId);
    this.merged = undefined;
  }

  /** The newest announcement of every target. */
  list(): readonly Announcement[] {
    this.merged ??= this.merge();
    return this.merged;
  }

  /** Ages of an announcement that `list` returned. */
  agesOf({targetId, seq}: Announcement, nowMs: number): AnnouncementAges {
    const arrivedAtMs = this.arrivals.get(targetId)?.atMs ?? nowMs;
    let confirmedAtMs = arrivedAtMs;
    for (const {targets, repliedAtMs} of this.views.values()) {
      if (targets.get(targetId)?.seq === seq)
        confirmedAtMs = Math.max(confirmedAtMs, repliedAtMs);
    }
    return {
      sinceArrivalMs: nowMs - arrivedAtMs,
      sinceConfirmationMs: nowMs - confirmedAtMs,
    };
  }

  private merge(): readonly Announcement[] {
    const newest = new Map<string, Announcement>();
    for (const view of this.views.values()) {
      for (const candidate of view.targets.values()) {
        const known = newest.get(candidate.targetId);
        newest.set(
          candidate.targetId,
          known === undefined ? candidate : newerOf(known, candidate)
        );
      }
    }
    this.recordArrivals(newest);
    return [...newest.values()];
  }

  private recordArrivals(newest: ReadonlyMap<string, Announcement>): void {
    const nowMs = performance.now();
    for (const [targetId, {agentBootId, seq}] of newest) {
      const bootAndSeq = `${agentBootId}/${seq}`;
      if (this.arrivals.get(targetId)?.bootAndSeq === bootAndSeq) continue;
      this.arrivals.set(targetId, {bootAndSeq, atMs: nowMs});
    }
    for (const targetId of this.arrivals.keys()) {
      if (!newest.has(targetId)) this.arrivals.delete(targetId);
    }
  }
}

/** Returns false when an update is for a target that the view does not hold. */
function applyMembers(
  {targets}: View,
  {changed = [], updated = [], removed = []}: MembersAnswer
): boolean {
  for (const targetId of removed) targets.delete(targetId);
  for (const announcement of changed)
    targets.set(announcement.targetId, announcement);
  for (const update of updated) {
    const known = targets.get(update.targetId);
    if (known === undefined) return false;
    targets.set(update.targetId, applyUpdate(known, update));
  }
  return true;
}

function newerOf(known: Announcement, candidate: Announcement): Announcement {
  if (isNewer(candidate, known)) return keepLeaving(known, candidate);
  return keepLeaving(candidate, known);
}
