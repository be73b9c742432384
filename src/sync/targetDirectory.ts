/**
 * The targets that an entry knows of, merged from what each control instance
 * has heard. Views are kept apart by instance, so that a cut-off instance's
 * old view can be dropped without touching the others.
 */

import {applyUpdate, isNewer, keepLeaving} from '../core/announcements';
import type {Announcement, MembersAnswer, PollAnswer} from '../core/wire';

/** An instance that has been silent for longer adds nothing any more. */
const VIEW_TTL_MS = 5_000;

/** No instance has told anything at this version. */
const NO_VERSION = -1;

interface View {
  readonly bootId: string;
  readonly targets: Map<string, Announcement>;
  version: number;
  heardAtMs: number;
}

/** Ages of what an announcement says, milliseconds. */
export interface AnnouncementAges {
  /** Since it first came in. */
  readonly arrivedMs: number;
  /**
   * Since a control instance last answered without telling of a change: until
   * then nothing had changed that could turn a choice.
   */
  readonly confirmedMs: number;
}

/** One merged view; times are `performance.now()` milliseconds. */
export class TargetDirectory {
  private readonly views = new Map<string, View>();
  /** When each announcement was first seen, by target. */
  private readonly seen = new Map<
    string,
    {readonly seq: string; readonly atMs: number}
  >();
  private merged: readonly Announcement[] | undefined;

  apply(answer: PollAnswer, nowMs: number): void {
    const {members, instanceId, bootId} = answer;
    if (members === undefined) return;
    const known = this.views.get(instanceId);
    const keep =
      known !== undefined && known.bootId === bootId && !members.full;
    const view: View = keep
      ? known
      : {
          bootId,
          targets: new Map(),
          version: members.version,
          heardAtMs: nowMs,
        };
    const fits = take(view, members);
    // An update of what is not held here is answered by asking for everything.
    view.version = fits ? members.version : NO_VERSION;
    view.heardAtMs = nowMs;
    this.views.set(instanceId, view);
    const {changed, updated, removed} = members;
    if (!keep || changed?.length || updated?.length || removed?.length)
      this.merged = undefined;
  }

  /** What to ask an instance for: only changes after this. */
  heldFrom(
    instanceId: string
  ): {readonly bootId: string; readonly version: number} | undefined {
    const view = this.views.get(instanceId);
    return view === undefined
      ? undefined
      : {bootId: view.bootId, version: view.version};
  }

  /**
   * Drops views that fell silent, but never the last ones: when all of
   * control is gone, the targets known last are still there, and each agent
   * refuses what it must.
   */
  expire(nowMs: number): void {
    const silent = [...this.views].filter(
      ([, view]) => nowMs - view.heardAtMs > VIEW_TTL_MS
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

  /** How old what an announcement says is. */
  agesOf({targetId, seq}: Announcement, nowMs: number): AnnouncementAges {
    const arrivedAtMs = this.seen.get(targetId)?.atMs ?? nowMs;
    let confirmedAtMs = arrivedAtMs;
    for (const {targets, heardAtMs} of this.views.values()) {
      if (targets.get(targetId)?.seq === seq)
        confirmedAtMs = Math.max(confirmedAtMs, heardAtMs);
    }
    return {
      arrivedMs: nowMs - arrivedAtMs,
      confirmedMs: nowMs - confirmedAtMs,
    };
  }

  private merge(): readonly Announcement[] {
    const newest = new Map<string, Announcement>();
    for (const view of this.views.values()) {
      for (const candidate of view.targets.values()) {
        const known = newest.get(candidate.targetId);
        newest.set(
          candidate.targetId,
          known === undefined ? candidate : newer(known, candidate)
        );
      }
    }
    this.noteArrivals(newest);
    return [...newest.values()];
  }

  private noteArrivals(newest: ReadonlyMap<string, Announcement>): void {
    const nowMs = performance.now();
    for (const [targetId, {agentBootId, seq}] of newest) {
      const stamp = `${agentBootId}/${seq}`;
      if (this.seen.get(targetId)?.seq === stamp) continue;
      this.seen.set(targetId, {seq: stamp, atMs: nowMs});
    }
    for (const targetId of this.seen.keys()) {
      if (!newest.has(targetId)) this.seen.delete(targetId);
    }
  }
}

/** Returns false when something in it does not fit what is held. */
function take(
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

function newer(known: Announcement, candidate: Announcement): Announcement {
  if (isNewer(candidate, known)) return keepLeaving(known, candidate);
  return keepLeaving(candidate, known);
}
