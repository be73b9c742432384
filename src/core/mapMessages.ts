/** Expert maps, and the messages of a map switch in a group of ranks. */

/**
 * Assigns the experts of a layer to slots. Both tables are indexed by rank,
 * then by slot. The shares of all replicas of one expert add up to 1.
 */
export interface ExpertMap {
  /** Expert held in each slot. */
  readonly slots: readonly (readonly number[])[];
  /** Fraction of that expert's tokens, 0 to 1, that this slot processes. */
  readonly shares: readonly (readonly number[])[];
}

/** A map with the version under which it was decided. */
export interface VersionedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

/** A committed map and the first step that all ranks run with it. */
export interface CommittedMap extends VersionedMap {
  readonly switchStep: number;
}

/** Identifies one map switch; no two switches of a group share a version. */
export interface SwitchId {
  readonly group: string;
  /** Fencing token of the controller that prepared the switch. */
  readonly fence: number;
  readonly version: number;
}

const VERSIONS_PER_FENCE = 1_000_000;

/**
 * Version of the nth switch under a fencing token. Two controllers never use
 * the same version, so that a delayed order of one is not mistaken for an
 * order of the other, even by engines that check the version only. The ids of
 * model orders are made in the same way.
 */
export function versionOf(fence: number, nth: number): number {
  return fence * VERSIONS_PER_FENCE + nth;
}

/** The fencing token under which a version was prepared. */
export function fenceOfVersion(version: number): number {
  return Math.floor(version / VERSIONS_PER_FENCE);
}

/**
 * Controller to rank: load the weights that the map needs, and do not run
 * `switchStep` before the decision.
 */
export interface PrepareMessage extends SwitchId {
  readonly kind: 'prepare';
  readonly switchStep: number;
  readonly map: ExpertMap;
}

/**
 * Controller to rank: load weights ahead of a switch, beside those in use.
 * Commits the rank to nothing.
 */
export interface StageMessage {
  readonly kind: 'stage';
  readonly group: string;
  readonly fence: number;
  /** Slot of this rank, from 0, in which a later map will use the weights. */
  readonly slot: number;
  readonly expert: number;
}

/** Rank to controller: the weights are loaded, or loading them failed. */
export interface StagedMessage {
  readonly kind: 'staged';
  readonly group: string;
  readonly rank: number;
  readonly slot: number;
  readonly expert: number;
  readonly ok: boolean;
}

/** Controller to rank: the decision, which is durable before this is sent. */
export interface DecisionMessage extends SwitchId {
  readonly kind: 'decision';
  readonly decision: 'commit' | 'abort';
}

/**
 * Rank to controller: the engine will not run the switch step before the
 * decision.
 */
export interface PromiseMessage extends SwitchId {
  readonly kind: 'promise';
  readonly rank: number;
}

/** Why a rank gives no promise. */
export type PromiseRefusal =
  /** The rank knows a newer fencing token or a decision on this version. */
  | 'fenced'
  /** The rank has not joined since its start: it knows no token and no map. */
  | 'unready'
  /** An earlier switch is still in progress at this rank. */
  | 'busy'
  /** The engine reached the switch step before it could hold. */
  | 'passed'
  /** The engine could not load the weights. */
  | 'load-failed';

/** Rank to controller: the rank does not promise. */
export interface RefusalMessage extends SwitchId {
  readonly kind: 'refusal';
  readonly rank: number;
  readonly reason: PromiseRefusal;
  readonly knownFence: number;
  /** Current step of the engine, so that a retry can choose a later one. */
  readonly step: number;
}

/** Rank to control, after a start: requests the current map. */
export interface JoinRequest {
  readonly kind: 'join';
  readonly group: string;
  readonly rank: number;
  /** New at each attempt, to recognize a late reply to an earlier one. */
  readonly attempt: string;
}

/**
 * Reply to a JoinRequest, confirmed by a quorum. Switches that were pending
 * before it can no longer be committed.
 */
export interface JoinAnswer {
  readonly kind: 'joinAnswer';
  readonly group: string;
  readonly attempt: string;
  readonly fence: number;
  /** The newest committed map. */
  readonly current: CommittedMap;
  /** The one before, for steps below `current.switchStep`. */
  readonly previous?: CommittedMap;
}

/** Rank to control, while holding at the switch step: requests the decision. */
export interface DecisionQuery extends SwitchId {
  readonly kind: 'decisionQuery';
  readonly rank: number;
}

/** Rank to control: tokens per expert since the last report; may be lost. */
export interface ExpertCountsReport {
  readonly kind: 'expertCounts';
  readonly group: string;
  readonly rank: number;
  readonly agentBootId: string;
  /** Grows with each report of a boot; a reordered report is ignored. */
  readonly seq: number;
  readonly step: number;
  /** Age of the middle of the counted interval when sent, milliseconds. */
  readonly ageMs: number;
  readonly counts: readonly number[];
}

/** Messages from the controller to a rank. */
export type ToRankMessage =
  PrepareMessage | DecisionMessage | JoinAnswer | StageMessage;

/** Messages from a rank to the controller. */
export type FromRankMessage =
  | PromiseMessage
  | RefusalMessage
  | StagedMessage
  | JoinRequest
  | DecisionQuery
  | ExpertCountsReport;

/** The messages of a rank that the state machine of a map switch handles. */
export type SwitchMessage = Exclude<
  FromRankMessage,
  StagedMessage | ExpertCountsReport
>;
