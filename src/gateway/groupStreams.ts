/**
 * Infers pass durations and stalls of groups of ranks from the streams that one
 * gateway relays.
 */

import {MeasuredPassDuration} from '../policy/measuredPassDuration';
import {StallDetector} from '../policy/stallDetector';

/** Observations from the streams of one group. */
export class GroupStreams {
  readonly passDuration = new MeasuredPassDuration();
  readonly stallWatch = new StallDetector();
}

/** Observations for one service, by group name. */
export class StreamsByGroup {
  private readonly groups = new Map<string, GroupStreams>();

  forGroup(group: string): GroupStreams {
    const known = this.groups.get(group);
    if (known !== undefined) return known;
    const streams = new GroupStreams();
    this.groups.set(group, streams);
    return streams;
  }

  /** Pass duration of one group; 0 when no stream runs. */
  passDurationMs(group: string, nowMs: number): number {
    return this.groups.get(group)?.passDuration.durationMs(nowMs) ?? 0;
  }

  /** Pass duration of each group that has streams. */
  pacesMs(nowMs: number): Record<string, number> {
    const paces = [...this.groups.keys()].map(
      group => [group, this.passDurationMs(group, nowMs)] as const
    );
    return Object.fromEntries(paces.filter(([, ms]) => ms > 0));
  }

  isStalled(group: string, nowMs: number): boolean {
    return this.groups.get(group)?.stallWatch.isStalled(nowMs) === true;
  }

  /** Whether every known group is stalled; false when none is known. */
  areAllGroupsStalled(nowMs: number): boolean {
    const names = [...this.groups.keys()];
    return (
      names.length > 0 && names.every(group => this.isStalled(group, nowMs))
    );
  }

  /** Evicts groups that are not in `names`, once their streams have ended. */
  retain(names: ReadonlySet<string>): void {
    for (const [name, {stallWatch}] of this.groups)
      if (!names.has(name) && stallWatch.isEmpty) this.groups.delete(name);
  }
}
