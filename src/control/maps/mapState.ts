/**
 * The replicated state of expert maps: for each group the newest fence and the
 * decisions made under it. Every control instance applies the same commands in
 * the same order, so any instance can answer queries after a read barrier.
 */

import type {CommittedMap, ExpertMap, SwitchId} from '../../core/mapMessages';
import {withEvenShares} from '../../policy/placement';
import type {FenceCommand, MapDecisionCommand} from '../state/command';

/** The replicated state of one group. */
export interface GroupMaps {
  /** Newest fence; 0 before the first. */
  readonly fence: number;
  readonly holder: string;
  /** Highest version with a decision, commit or abort. */
  readonly decidedVersion: number;
  readonly current?: CommittedMap;
  readonly previous?: CommittedMap;
}

/** The outcome reported to a rank that waits before the switch pass. */
export type SwitchOutcome = 'commit' | 'abort' | 'undecided';

/** The state as stored in snapshots. */
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

  /** Records a decision once, and only under the newest fence. */
  applyDecision(command: MapDecisionCommand): {
    readonly kind: 'recorded' | 'fenced';
  } {
    const group = this.group(command.group);
    const {fence, version} = command;
    // A late decision of a replaced controller must be rejected: ranks that
    // have queried since may already know its switch as aborted.
    if (fence !== group.fence) return {kind: 'fenced'};
    if (version <= group.decidedVersion) {
      // A proposer whose reply was lost proposes the same decision again.
      const isSameDecision = this.outcome(command) === command.decision;
      return {kind: isSameDecision ? 'recorded' : 'fenced'};
    }
    this.groups.set(command.group, withDecision(group, command));
    return {kind: 'recorded'};
  }

  /** The outcome of a switch. Only `undecided` can change later. */
  outcome(id: SwitchId): SwitchOutcome {
    const group = this.group(id.group);
    const committed = [group.current, group.previous].find(
      map => map?.version === id.version
    );
    if (committed) return 'commit';
    if (id.version <= group.decidedVersion) return 'abort';
    // A decision under an older fence can no longer be recorded.
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

/** The map of a command; without shares, each expert is split evenly. */
function mapOf(command: MapDecisionCommand): ExpertMap {
  const {slots, shares} = command;
  return shares ? {slots, shares} : withEvenShares(slots);
}
