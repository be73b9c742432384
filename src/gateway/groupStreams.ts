/** Streams of one gateway in one group of ranks, which show how it steps. */

import {PassPace} from '../policy/passPace';
import {StallWatch} from '../policy/stallWatch';

/** Streams of one group. */
export class GroupStreams {
  readonly pace = new PassPace();
  readonly stalls = new StallWatch();
}

/** Streams of a service by the name of the group. */
export class StreamsByGroup {
  private readonly groups = new Map<string, GroupStreams>();

  of(group: string): GroupStreams {
    const known = this.groups.get(group);
    if (known !== undefined) return known;
    const streams = new GroupStreams();
    this.groups.set(group, streams);
    return streams;
  }

  /** Length of a pass; 0 when no stream runs. */
  paceMs(group: string, nowMs: number): number {
    return this.groups.get(group)?.pace.paceMs(nowMs) ?? 0;
  }

  /** Length of a pass of each group that has streams. */
  pacesMs(nowMs: number): Record<string, number> {
    const paces = [...this.groups.keys()].map(
      group => [group, this.paceMs(group, nowMs)] as const
    );
    return Object.fromEntries(paces.filter(([, ms]) => ms > 0));
  }

  isStalled(group: string, nowMs: number): boolean {
    return this.groups.get(group)?.stalls.isStalled(nowMs) === true;
  }

  /** Whether every group that had streams stands still. */
  areAllStalled(nowMs: number): boolean {
    const names = [...this.groups.keys()];
    return (
      names.length > 0 && names.every(group => this.isStalled(group, nowMs))
    );
  }

  /** Drops groups without streams that are no more. */
  retain(names: ReadonlySet<string>): void {
    for (const [name, {stalls}] of this.groups)
      if (!names.has(name) && stalls.isEmpty) this.groups.delete(name);
  }
}
