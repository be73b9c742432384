/** Commands in the replicated log and their results. */

import type {ClaimResult} from '../../core/claims';
import type {SubmitResult} from '../../core/operatorMessages';
import type {CustomerUsage} from '../../core/wire';
import type {ClaimRequest, SettleRequest} from '../../rpc/messages';

/** Submits a rule file under the revision number that it states. */
export interface SubmitCommand {
  readonly kind: 'submit';
  readonly revision: number;
  /** SHA-256 of the text, hex. */
  readonly digest: string;
  readonly text: string;
  readonly submittedBy: string;
}

/** Claims an idempotency key for one dispatch to one boot of an agent. */
export interface ClaimCommand extends ClaimRequest {
  readonly kind: 'claim';
  /** Wall-clock time at the leader; used for retention only. */
  readonly atMs: number;
}

/** Records the outcome of one attempt under an idempotency key. */
export interface SettleCommand extends SettleRequest {
  readonly kind: 'settle';
}

/**
 * Starts a new epoch of map orders to one group of ranks. The result is the
 * fencing token of the epoch.
 */
export interface FenceCommand {
  readonly kind: 'fence';
  readonly group: string;
  readonly holder: string;
}

/** Records the decision on an expert map, before any rank acts on it. */
export interface MapDecisionCommand {
  readonly kind: 'mapDecision';
  readonly group: string;
  readonly fence: number;
  readonly version: number;
  /** First pass that all ranks run with the map. */
  readonly switchStep: number;
  readonly decision: 'commit' | 'abort';
  /** Expert in each expert slot, by rank. */
  readonly slots: readonly (readonly number[])[];
  /** Part of the expert's tokens for each expert slot; even when absent. */
  readonly shares?: readonly (readonly number[])[];
}

/** Records the usage totals of one boot of an entry process, for billing. */
export interface UsageCommand {
  readonly kind: 'usage';
  readonly entryBootId: string;
  readonly totals: readonly CustomerUsage[];
}

/** Starts a new epoch of model orders; the result is its fencing token. */
export interface FleetFenceCommand {
  readonly kind: 'fleetFence';
  readonly holder: string;
}

/** An order for one target to load a model. */
export interface PlannedOrder {
  readonly targetId: string;
  readonly model: string;
  readonly version: string;
  /** The rule that requires it, in normalized spelling. */
  readonly rule: string;
}

/** Records model orders before they are sent to any agent. */
export interface FleetOrderCommand {
  readonly kind: 'fleetOrder';
  readonly fence: number;
  readonly id: number;
  readonly changes: readonly PlannedOrder[];
}

/** Records the outcome of the order to one target as its agent reported it. */
export interface FleetEndCommand {
  readonly kind: 'fleetEnd';
  readonly fence: number;
  readonly id: number;
  readonly targetId: string;
  readonly outcome: 'done' | 'failed';
}

/** Applies a whole site document if its version is higher than the current. */
export interface SiteCommand {
  readonly kind: 'site';
  readonly version: number;
  /** The document as submitted, compressed; see `packText`. */
  readonly packed: string;
}

/**
 * Takes an availability zone out of service or returns it to service, unless the zone
 * has changed since the order was taken.
 */
export interface ZoneCommand {
  readonly kind: 'zone';
  readonly availabilityZone: string;
  readonly out: boolean;
  /**
   * Revision of the zone that the proposing node knew when it took the order; absent
   * from a node of an older version, whose orders are always applied.
   */
  readonly seenRevision?: number;
}

/** Records that one boot of a target leaves, before that is acknowledged to it. */
export interface DepartureCommand {
  readonly kind: 'departure';
  readonly targetId: string;
  /** Start of the boot, Unix milliseconds. */
  readonly bornMs: number;
  readonly state: 'draining' | 'gone';
  /** Sequence number of its last announcement; a later one may say otherwise. */
  readonly sequence: number;
}

/** Written by a new leader to commit the entries of earlier terms. */
export interface NoopCommand {
  readonly kind: 'noop';
}

/** Any command. */
export type Command =
  | SubmitCommand
  | ClaimCommand
  | SettleCommand
  | FenceCommand
  | MapDecisionCommand
  | UsageCommand
  | FleetFenceCommand
  | FleetOrderCommand
  | FleetEndCommand
  | SiteCommand
  | ZoneCommand
  | DepartureCommand
  | NoopCommand;

/** Result of a settlement; `ignored` if the attempt is not open for it. */
export type SettleResult =
  {readonly kind: 'settled'} | {readonly kind: 'ignored'};

/** Whether a document was applied, or an equal or newer one was already. */
export interface SiteResult {
  readonly kind: 'accepted' | 'superseded';
  /** Version that is applied afterwards. */
  readonly version: number;
}

/** Whether an order took effect, or a later one came before it. */
export interface ZoneResult {
  readonly kind: 'applied' | 'outdated';
}

/** Result of any command. */
export type CommandResult =
  | {readonly command: 'submit'; readonly result: SubmitResult}
  | {readonly command: 'claim'; readonly result: ClaimResult}
  | {readonly command: 'settle'; readonly result: SettleResult}
  | {readonly command: 'fence'; readonly result: {readonly fence: number}}
  | {
      readonly command: 'mapDecision';
      readonly result: {readonly kind: 'recorded' | 'fenced'};
    }
  | {readonly command: 'fleetFence'; readonly result: {readonly fence: number}}
  | {
      readonly command: 'fleetOrder' | 'fleetEnd';
      readonly result: {readonly kind: 'recorded' | 'fenced'};
    }
  | {readonly command: 'site'; readonly result: SiteResult}
  | {readonly command: 'zone'; readonly result: ZoneResult}
  | {readonly command: 'departure'}
  | {readonly command: 'usage'}
  | {readonly command: 'noop'};
