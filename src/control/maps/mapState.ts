/**
 * The replicated part of expert maps: for each group the highest fence given
 * out and what was decided under it. Every control instance applies the same
 * commands in the same order, so that any of them can answer after a read
 * barrier.
 */

import type {CommittedMap, ExpertMap, SwitchId} from '../../core/mapMessages';
import {withEvenShares} from '../../policy/placement';
import type {FenceCommand, MapDecisionCommand} from '../state/command';

/** What is agreed on one group. */
export interface GroupMaps {
  /** Highest fence given out; 0 before the first. */
  readonly fence: number;
  readonly holder: string;
  /** Highest version decided, committed or not. */
  readonly decidedVersion: number;
  readonly current?: CommittedMap;
  readonly previous?: CommittedMap;
}

/** The answer to a rank that stands at its barrier. */
export type SwitchOutcome = 'commit' | 'abort' | 'undecided';

/** As stored in snapshots. */
export interface MapSnapshot {
  readonly groups: readonly (readonly [string, GroupMaps])[];
}

const INITIAL_GROUP_STATE: GroupMaps = {
  fence: 0,
  holder: '',
  decidedVersion: 0,
};

/** Applies fences and decisions in log order. */
export class MapState {
  private groups = new Map<string, GroupMaps>();

  group(name: string): GroupMaps {
    return this.groups.get(name) ?? INITIAL_GROUP_STATE;
  }

  groupNames(): readonly string[] {
    return [...this.groups.keys()];
  }

  applyFence(command: FenceCommand): {readonly fence: number} {
    const group = this.group(command.group);
    const fence = group.fence + 1;
    this.groups.set(command.group, {...group, fence, holder: command.holder});
    return {fence};
  }

  /** A decision counts once, and only from the holder of the newest fence. */
  applyDecision(command: MapDecisionCommand): {
    readonly kind: 'recorded' | 'fenced';
  } {
    const group = this.group(command.group);
    const {fence, version} = command;
    // A late decision of a replaced controller must not count: ranks that
    // asked since have been told that its switch can no longer happen.
    if (fence !== group.fence) return {kind: 'fenced'};
    if (version <= group.decidedVersion) {
      // A proposer whose answer was lost proposes the same again.
      const isSameDecision = this.outcome(command) === command.decision;
      return {kind: isSameDecision ? 'recorded' : 'fenced'};
    }
    this.groups.set(command.group, withDecision(group, command));
    return {kind: 'recorded'};
  }

  /** What is certain about a switch; `undecided` may change, the others not. */
  outcome(id: SwitchId): SwitchOutcome {
    const group = this.group(id.group);
    const committed = [group.current, group.previous].find(
      map => map?.version === id.version
    );
    if (committed) return 'commit';
    if (id.version <= group.decidedVersion) return 'abort';
    // No decision under an older fence can count any more.
    return id.fence < group.fence ? 'abort' : 'undecided';
  }

  snapshot(): MapSnapshot {
    return {groups: [...this.groups]};
  }

  restore(snapshot: MapSnapshot): void {
    this.groups = new Map(snapshot.groups);
  }
}

function withDecision(
  group: GroupMaps,
  command: MapDecisionCommand
): GroupMaps {
  const {version, switchStep} = command;
  if (command.decision === 'abort') return {...group, decidedVersion: version};
  const current = {version, switchStep, map: mapOf(command)};
  return {
    ...group,
    decidedVersion: version,
    current,
    previous: group.current,
  };
}

/** The map in a command; with no shares every expert is split evenly. */
function mapOf(command: MapDecisionCommand): ExpertMap {
  const {slots, shares} = command;
  return shares ? {slots, shares} : withEvenShares(slots);
}
