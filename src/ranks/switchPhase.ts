/** Phases, events and orders of a switch of expert maps. */

import {unreachable} from '../core/errors';
import type {
  GroupExpertMap,
  OrderAnswer,
  RankOrder,
  RankReport,
} from '../ports/rankPort';

/** Phase of a switch. */
export type SwitchPhase =
  /** Reads reports to detect a pending switch of an earlier leader. */
  | {readonly kind: 'inspecting'}
  | {readonly kind: 'idle'}
  /** Copies the map to all ranks. */
  | {
      readonly kind: 'preparing';
      readonly version: number;
      readonly lists: GroupExpertMap;
    }
  /** Holds the group before the pass. */
  | {
      readonly kind: 'holding';
      readonly version: number;
      readonly lists: GroupExpertMap;
      readonly pass: number;
      readonly attempts: number;
    }
  /** Arms all ranks to use the map from the pass on. */
  | {
      readonly kind: 'arming';
      readonly version: number;
      readonly lists: GroupExpertMap;
      readonly pass: number;
    }
  /** Takes over the hold of an earlier leader, which may have been released. */
  | {
      readonly kind: 'seizing';
      readonly pass: number;
      /** Whether the earlier leader's switch may be completed. */
      readonly mayComplete: boolean;
    }
  /** Completes an earlier leader's switch; all ranks have its copies. */
  | {
      readonly kind: 'completing';
      readonly version: number;
      readonly pass: number;
    }
  /** Disarms all ranks after arming failed. */
  | {readonly kind: 'clearing'; readonly pass: number}
  /** Lets the group continue, with the new map or the old one. */
  | {
      readonly kind: 'releasing';
      readonly pass: number;
      readonly map: 'new' | 'old';
      readonly version: number;
      readonly lists: GroupExpertMap;
    };

/** The phase of one kind. */
export type PhaseOf<K extends SwitchPhase['kind']> = Extract<
  SwitchPhase,
  {readonly kind: K}
>;

/** Event that drives a switch. */
export type SwitchEvent =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'report';
      readonly rank: number;
      readonly report: RankReport;
      /** When the report was requested. */
      readonly requestedAtMs: number;
    }
  | {
      readonly kind: 'answer';
      readonly rank: number;
      readonly order: RankOrder;
      readonly answer: OrderAnswer;
    };

/** An order to send now, and the index of the rank that it is for. */
export interface OutgoingOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

/** Known state of one rank. */
export interface RankView {
  report?: RankReport;
  reportRequestedAtMs: number;
  hasOrderInFlight: boolean;
  /** Whether the rank confirmed the order of the current phase. */
  isConfirmed: boolean;
  /** Whether an arm order got no response and may still be carried out. */
  mayBeArmedLate: boolean;
  /**
   * Whether a copy order got no response. A later refusal may then mean that
   * the rank already has the version.
   */
  mayBePrepared: boolean;
  /**
   * Whether it accepted an order of this leader, and so rejects older leaders.
   */
  rejectsOlderLeaders: boolean;
  /** Whether it was disarmed; used in the `clearing` phase. */
  isDisarmed: boolean;
  /** When the response to the last order arrived. */
  respondedAtMs: number;
  /** No order is sent before this time. */
  backoffUntilMs: number;
}

/** Whether a report of the rank could advance the switch. */
export function isReportNeeded(
  phase: SwitchPhase,
  view: RankView,
  /** Whether the pass of the last switch has begun, or should have by now. */
  isLastSwitchDue: boolean
): boolean {
  if (view.report === undefined) return true;
  switch (phase.kind) {
    case 'preparing':
      return !view.isConfirmed && view.report.preparedVersion !== phase.version;
    case 'holding':
    case 'arming':
    case 'completing':
    case 'releasing':
      return false;
    case 'idle':
      return isLastSwitchDue;
    case 'inspecting':
    case 'seizing':
    case 'clearing':
      return true;
    default:
      return unreachable(phase);
  }
}

/** View of a rank about which nothing is known yet. */
export function newRankView(): RankView {
  return {
    reportRequestedAtMs: -Infinity,
    hasOrderInFlight: false,
    isConfirmed: false,
    mayBeArmedLate: false,
    mayBePrepared: false,
    rejectsOlderLeaders: false,
    isDisarmed: false,
    respondedAtMs: -Infinity,
    backoffUntilMs: -Infinity,
  };
}
