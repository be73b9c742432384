/** Phases of a switch of expert maps, what moves it, and what it orders. */

import {unreachable} from '../core/errors';
import type {
  MapLists,
  OrderAnswer,
  RankOrder,
  RankReport,
} from '../ports/rankPort';

/** Where a switch stands. */
export type SwitchPhase =
  | {readonly kind: 'inspecting'}
  | {readonly kind: 'idle'}
  | {
      readonly kind: 'preparing';
      readonly version: number;
      readonly lists: MapLists;
    }
  | {
      readonly kind: 'holding';
      readonly version: number;
      readonly lists: MapLists;
      readonly pass: number;
      readonly tries: number;
    }
  | {
      readonly kind: 'arming';
      readonly version: number;
      readonly lists: MapLists;
      readonly pass: number;
    }
  /** Makes a hold its own that an earlier leader may have let go already. */
  | {
      readonly kind: 'seizing';
      readonly pass: number;
      /** Whether the switch of the earlier leader may be finished. */
      readonly mayComplete: boolean;
    }
  /** Finishes the switch of an earlier leader: all ranks hold its copies. */
  | {
      readonly kind: 'completing';
      readonly version: number;
      readonly pass: number;
    }
  /** Disarms after an arm that failed. */
  | {readonly kind: 'clearing'; readonly pass: number}
  /** Lets the group go, on the new map or on the old one. */
  | {
      readonly kind: 'releasing';
      readonly pass: number;
      readonly then: 'switched' | 'idle';
      readonly version: number;
      readonly lists: MapLists;
    };

/** The phase of one kind. */
export type PhaseOf<K extends SwitchPhase['kind']> = Extract<
  SwitchPhase,
  {readonly kind: K}
>;

/** Something that happened. */
export type SwitchEvent =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'report';
      readonly rank: number;
      readonly report: RankReport;
      /** When it was asked for. */
      readonly askedAtMs: number;
    }
  | {
      readonly kind: 'answer';
      readonly rank: number;
      readonly order: RankOrder;
      readonly answer: OrderAnswer;
    };

/** An order to be sent now. */
export interface SentOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

/** What a switch knows of one rank. */
export interface RankView {
  report?: RankReport;
  reportAtMs: number;
  /** Whether an order to it is on its way. */
  isBusy: boolean;
  /** Whether the present phase's order was confirmed. */
  isDone: boolean;
  /** Whether an arm order got no answer and may still come. */
  mayBeArmedLate: boolean;
  /** Whether a copy order got no answer, so that a refusal may mean it is there. */
  mayBePrepared: boolean;
  /** Whether it took an order of ours: older leaders are refused since. */
  isFenced: boolean;
  /** While clearing. */
  isDisarmed: boolean;
  /** When the last order was answered. */
  answeredAtMs: number;
  /** Before this nothing is ordered again. */
  restUntilMs: number;
}

/** Whether a report could move the switch on. */
export function isReportDue(
  phase: SwitchPhase,
  view: RankView,
  /** Whether the pass of the last switch has begun. */
  isLastInForce: boolean
): boolean {
  if (view.report === undefined) return true;
  switch (phase.kind) {
    case 'preparing':
      return !view.isDone && view.report.preparedVersion !== phase.version;
    case 'holding':
    case 'arming':
    case 'completing':
    case 'releasing':
      return false;
    case 'idle':
      return isLastInForce;
    case 'inspecting':
    case 'seizing':
    case 'clearing':
      return true;
    default:
      return unreachable(phase);
  }
}

/** A rank of which nothing is known yet. */
export function unknownRank(): RankView {
  return {
    reportAtMs: -Infinity,
    isBusy: false,
    isDone: false,
    mayBeArmedLate: false,
    mayBePrepared: false,
    isFenced: false,
    isDisarmed: false,
    answeredAtMs: -Infinity,
    restUntilMs: -Infinity,
  };
}
