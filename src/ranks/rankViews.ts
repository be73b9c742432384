/** Known state of each rank of a group, and the orders in flight. */

import type {OrderAnswer, RankOrder, RankReport} from '../ports/rankPort';
import type {OutgoingOrder, RankView, SwitchPhase} from './switchPhase';
import {isReportNeeded, newRankView} from './switchPhase';

/**
 * Rank that is held during a switch, and whose reports count the passes. The
 * ranks run in lock-step, so holding one of them holds the group.
 */
export const HOLD_RANK = 0;

/**
 * Backoff after a refused order. Usually the state of the rank has to change
 * before a retry can succeed, and each order costs a call.
 */
const REFUSED_BACKOFF_MS = 60;

/** Views of all ranks of one group. */
export class RankViews {
  readonly views: RankView[];

  constructor(ranks: number) {
    this.views = Array.from({length: ranks}, newRankView);
  }

  /** Resets the confirmations of the last phase. */
  resetForPhase(): void {
    for (const view of this.views) {
      view.isConfirmed = false;
      view.isDisarmed = false;
      view.mayBePrepared = false;
    }
  }

  reports(): readonly RankReport[] {
    return this.views.flatMap(({report}) => report ?? []);
  }

  /** Ranks whose reports could advance the switch. */
  ranksToReport(
    phase: SwitchPhase,
    isLastSwitchDue: boolean
  ): readonly number[] {
    const isDue = (view: RankView, rank: number) =>
      rank === HOLD_RANK || isReportNeeded(phase, view, isLastSwitchDue);
    return this.views.flatMap((view, rank) => (isDue(view, rank) ? rank : []));
  }

  /** Whether all ranks have confirmed the order of the current phase. */
  get areAllConfirmed(): boolean {
    return this.views.every(({isConfirmed}) => isConfirmed);
  }

  /**
   * Whether all ranks have completed the copies of the version. Reports show
   * that late, but the duration is known: copies begun by `startedByMs` are
   * complete.
   */
  areCopiesComplete(version: number, startedByMs: number): boolean {
    return this.views.every(view => isCopyComplete(view, version, startedByMs));
  }

  /** Notes a report; returns false when a later one is known. */
  noteReport(rank: number, report: RankReport, requestedAtMs: number): boolean {
    const view = this.views[rank];
    if (view === undefined || requestedAtMs < view.reportRequestedAtMs)
      return false;
    view.report = report;
    view.reportRequestedAtMs = requestedAtMs;
    return true;
  }

  /** Notes the phase-independent effects of a response to an order. */
  noteAnswer(
    rank: number,
    order: RankOrder,
    answer: OrderAnswer,
    nowMs: number
  ): RankView | undefined {
    const view = this.views[rank];
    if (view === undefined) return undefined;
    view.hasOrderInFlight = false;
    view.respondedAtMs = nowMs;
    if (answer === 'done') view.rejectsOlderLeaders = true;
    // A hold that came too late is repeated at once, for a later pass.
    if (answer === 'refused' && order.kind !== 'hold')
      view.backoffUntilMs = nowMs + REFUSED_BACKOFF_MS;
    if (answer === 'unknown' && order.kind === 'arm')
      view.mayBeArmedLate = true;
    return view;
  }

  /** Arms all ranks that have not confirmed it yet. */
  armAll(
    nowMs: number,
    version: number,
    pass: number
  ): readonly OutgoingOrder[] {
    const order = {kind: 'arm', version, pass} as const;
    return this.orderWhere(nowMs, ({isConfirmed}) => !isConfirmed, order);
  }

  areAllReportedSince(sinceMs: number): boolean {
    return this.views.every(
      ({reportRequestedAtMs}) => reportRequestedAtMs >= sinceMs
    );
  }

  /** Sends the same order to each rank for which `needsOrder` is true. */
  orderWhere(
    nowMs: number,
    needsOrder: (view: RankView) => boolean,
    order: RankOrder
  ): readonly OutgoingOrder[] {
    return this.views.flatMap((view, rank) =>
      needsOrder(view) ? this.order(nowMs, rank, order) : []
    );
  }

  /** Orders a rank, unless it has an order in flight or is in backoff. */
  order(
    nowMs: number,
    rank: number,
    order: RankOrder
  ): readonly OutgoingOrder[] {
    const view = this.views[rank];
    if (view === undefined || view.hasOrderInFlight) return [];
    if (nowMs < view.backoffUntilMs) return [];
    view.hasOrderInFlight = true;
    return [{rank, order}];
  }
}

/**
 * Finds the first rank that reports a hold; undefined if its report was
 * requested before the response to its last order, and so may be outdated.
 */
export function findCurrentHold(
  views: readonly RankView[]
): {readonly rank: number; readonly heldPass: number} | undefined {
  const rank = views.findIndex(({report}) => report?.heldPass);
  const view = views[rank];
  const heldPass = view?.report?.heldPass;
  if (view === undefined || heldPass === undefined) return undefined;
  return view.respondedAtMs > view.reportRequestedAtMs
    ? undefined
    : {rank, heldPass};
}

/** Whether the rank reports a complete copy, or began it by `startedByMs`. */
function isCopyComplete(
  view: RankView,
  version: number,
  startedByMs: number
): boolean {
  if (view.report?.preparedVersion === version) return true;
  return view.isConfirmed && view.respondedAtMs <= startedByMs;
}
