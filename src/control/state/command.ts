/** Commands in the replicated log, and their results. */

import type {ClaimResult} from '../../core/claims';
import type {SubmitResult} from '../../core/operatorAnswers';
import type {CustomerUsage} from '../../core/wire';
import type {ClaimRequest, SettleRequest} from '../../rpc/messages';

/** Submits a rule file under its own revision number. */
export interface SubmitCommand {
  readonly kind: 'submit';
  readonly revision: number;
  /** SHA-256 of the text, hex. */
  readonly digest: string;
  readonly text: string;
  readonly submittedBy: string;
}

/** Claims a key for one dispatch to one boot of one agent. */
export interface ClaimCommand extends ClaimRequest {
  readonly kind: 'claim';
  /** Wall-clock time at the leader, for retention only. */
  readonly atMs: number;
}

/** Records the end of one attempt under a key. */
export interface SettleCommand extends SettleRequest {
  readonly kind: 'settle';
}

/** Starts a new epoch of orders to one group of ranks; the result fences. */
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
  /** Step from which all ranks use the map. */
  readonly switchStep: number;
  readonly decision: 'commit' | 'abort';
  /** Physical slots: expert of each slot, by rank. */
  readonly slots: readonly (readonly number[])[];
  /** Part of the expert's tokens that each slot takes; even when absent. */
  readonly shares?: readonly (readonly number[])[];
}

/** Records what one boot of one entry has counted so far, for charging. */
export interface UsageCommand {
  readonly kind: 'usage';
  readonly entryBootId: string;
  readonly totals: readonly CustomerUsage[];
}

/** Starts a new epoch of orders for models; the result fences. */
export interface FleetFenceCommand {
  readonly kind: 'fleetFence';
  readonly holder: string;
}

/** One target to be changed. */
export interface PlannedOrder {
  readonly targetId: string;
  readonly model: string;
  readonly version: string;
  /** The rule that asked for it, in its one spelling. */
  readonly rule: string;
}

/** Records orders for models, before any agent hears of them. */
export interface FleetOrderCommand {
  readonly kind: 'fleetOrder';
  readonly fence: number;
  readonly id: number;
  readonly changes: readonly PlannedOrder[];
}

/** Records how the order to one target ended, as its agent told. */
export interface FleetEndCommand {
  readonly kind: 'fleetEnd';
  readonly fence: number;
  readonly id: number;
  readonly targetId: string;
  readonly outcome: 'done' | 'failed';
}

/** Puts a whole site document in force; only a higher version does. */
export interface SiteCommand {
  readonly kind: 'site';
  readonly version: number;
  /** The document as it came, packed; see `packText`. */
  readonly packed: string;
}

/** Takes an availability zone out of service, or back in. */
export interface ZoneCommand {
  readonly kind: 'zone';
  readonly availabilityZone: string;
  readonly out: boolean;
}

/** Written by a new leader to commit what earlier terms left. */
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
  | NoopCommand;

/** Result of a settlement; `ignored` when another one came first. */
export type SettleResult =
  {readonly kind: 'settled'} | {readonly kind: 'ignored'};

/** Whether a document came into force, or a newer or equal one stood already. */
export interface SiteResult {
  readonly kind: 'accepted' | 'superseded';
  /** Version in force afterwards. */
  readonly version: number;
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
  | {readonly command: 'zone'}
  | {readonly command: 'usage'}
  | {readonly command: 'noop'};
