/** Expert maps, and the messages by which a group of ranks changes its map. */

/**
 * Where the experts of a layer stand. Both tables are by rank, then by slot.
 * The shares of all replicas of one expert add up to 1.
 */
export interface ExpertMap {
  /** Expert held in each slot. */
  readonly slots: readonly (readonly number[])[];
  /** Part of that expert's tokens, 0 to 1, that this slot takes. */
  readonly shares: readonly (readonly number[])[];
}

/** A map under the number by which it was decided. */
export interface VersionedMap {
  readonly version: number;
  readonly map: ExpertMap;
}

/** A decided map and the step from which all ranks use it. */
export interface CommittedMap extends VersionedMap {
  readonly switchStep: number;
}

/** Identifies one attempt to switch; no two attempts share a version. */
export interface SwitchId {
  readonly group: string;
  readonly fence: number;
  readonly version: number;
}

const VERSIONS_PER_FENCE = 1_000_000;

/**
 * Version of the nth switch under a fence. Two controllers can never use the
 * same one, so that no late order of one is taken for an order of the other,
 * also by engines that look at the version alone.
 */
export function versionOf(fence: number, nth: number): number {
  return fence * VERSIONS_PER_FENCE + nth;
}

/** The fence under which a version was prepared. */
export function fenceOfVersion(version: number): number {
  return Math.floor(version / VERSIONS_PER_FENCE);
}

/** Controller to rank: load the map and do not pass the step undecided. */
export interface PrepareMessage extends SwitchId {
  readonly kind: 'prepare';
  readonly switchStep: number;
  readonly map: ExpertMap;
}

/** Controller to rank: load weights beside those in use; promises nothing. */
export interface StageMessage {
  readonly kind: 'stage';
  readonly group: string;
  readonly fence: number;
  /** Slot of this rank, from 0, for which a later map will use them. */
  readonly slot: number;
  readonly expert: number;
}

/** Rank to controller: the weights are there, or could not be had. */
export interface StagedMessage {
  readonly kind: 'staged';
  readonly group: string;
  readonly rank: number;
  readonly slot: number;
  readonly expert: number;
  readonly ok: boolean;
}

/** Controller to rank: what was decided; it is durable when this is sent. */
export interface DecisionMessage extends SwitchId {
  readonly kind: 'decision';
  readonly decision: 'commit' | 'abort';
}

/** Rank to controller: the engine holds before the step until it is told. */
export interface PromiseMessage extends SwitchId {
  readonly kind: 'promise';
  readonly rank: number;
}

/** Why a rank does not promise. */
export type PromiseRefusal =
  /** The order carries an older fence than the rank knows. */
  | 'fenced'
  /** The rank has not yet learned fence and map since its start. */
  | 'unready'
  /** An earlier switch is not finished at this rank. */
  | 'busy'
  /** The engine had reached the step before it could hold. */
  | 'passed'
  /** The engine could not load the weights. */
  | 'load-failed';

/** Rank to controller: no promise was given. */
export interface RefusalMessage extends SwitchId {
  readonly kind: 'refusal';
  readonly rank: number;
  readonly reason: PromiseRefusal;
  readonly knownFence: number;
  /** Step of the engine, to choose a later one. */
  readonly step: number;
}

/** Rank to control, after a start: what is in force? */
export interface JoinRequest {
  readonly kind: 'join';
  readonly group: string;
  readonly rank: number;
  /** New at each attempt, so that a late answer to an older one is seen. */
  readonly attempt: string;
}

/** Quorum-backed answer; nothing that was pending can still be committed. */
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

/** Rank to control, from the barrier: what was decided? */
export interface DecisionQuery extends SwitchId {
  readonly kind: 'decisionQuery';
  readonly rank: number;
}

/** Rank to control: tokens by expert since the last report; may be lost. */
export interface ExpertCountsReport {
  readonly kind: 'expertCounts';
  readonly group: string;
  readonly rank: number;
  readonly agentBootId: string;
  /** Grows with each report of a boot; an older one is ignored. */
  readonly seq: number;
  readonly step: number;
  /** Middle of the counted span, milliseconds before sending. */
  readonly ageMs: number;
  readonly counts: readonly number[];
}

/** Controller to rank. */
export type ToRankMessage =
  PrepareMessage | DecisionMessage | JoinAnswer | StageMessage;

/** Rank to controller. */
export type FromRankMessage =
  | PromiseMessage
  | RefusalMessage
  | StagedMessage
  | JoinRequest
  | DecisionQuery
  | ExpertCountsReport;

/** What the state machine of a switch takes of a rank's messages. */
export type SwitchMessage = Exclude<
  FromRankMessage,
  StagedMessage | ExpertCountsReport
>;
