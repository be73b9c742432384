/** What a switch knows of each rank, and the orders on their way to them. */

import type {OrderAnswer, RankOrder, RankReport} from '../ports/rankPort';
import type {RankView, SentOrder, SwitchPhase} from './switchPhase';
import {isReportDue, unknownRank} from './switchPhase';

/** Holds are placed here, and the passes of the group are counted here. */
export const CLOCK_RANK = 0;

/**
 * Rest of a rank after an order that it did not take. Most of the time its
 * state has to change first, and each order is paid for.
 */
const REST_MS = 60;

/** All ranks of one group. */
export class RankViews {
  readonly views: RankView[];

  constructor(ranks: number) {
    this.views = Array.from({length: ranks}, unknownRank);
  }

  /** Forgets what the last phase had confirmed. */
  beginPhase(): void {
    for (const view of this.views) {
      view.isDone = false;
      view.isDisarmed = false;
      view.mayBePrepared = false;
    }
  }

  reports(): readonly RankReport[] {
    return this.views.flatMap(({report}) => report ?? []);
  }

  /** Ranks whose reports could move the switch on. */
  toReport(phase: SwitchPhase, isLastInForce: boolean): readonly number[] {
    const isDue = (view: RankView, rank: number) =>
      rank === CLOCK_RANK || isReportDue(phase, view, isLastInForce);
    return this.views.flatMap((view, rank) => (isDue(view, rank) ? rank : []));
  }

  /** Whether all have confirmed the present phase's order. */
  get areAllDone(): boolean {
    return this.views.every(({isDone}) => isDone);
  }

  /**
   * Whether all copies that were begun by then are complete. Reports show a copy
   * late; the time that it takes is known.
   */
  areCopied(version: number, begunByMs: number): boolean {
    return this.views.every(view => isCopied(view, version, begunByMs));
  }

  /** Notes a report; false when a later one is known. */
  noteReport(rank: number, report: RankReport, askedAtMs: number): boolean {
    const view = this.views[rank];
    if (view === undefined || askedAtMs < view.reportAtMs) return false;
    view.report = report;
    view.reportAtMs = askedAtMs;
    return true;
  }

  /** Notes what an answer says whatever the phase. */
  noteAnswer(
    rank: number,
    order: RankOrder,
    answer: OrderAnswer,
    nowMs: number
  ): RankView | undefined {
    const view = this.views[rank];
    if (view === undefined) return undefined;
    view.isBusy = false;
    view.answeredAtMs = nowMs;
    if (answer === 'done') view.isFenced = true;
    // A hold that came too late is tried at once, for a later pass.
    if (answer === 'refused' && order.kind !== 'hold')
      view.restUntilMs = nowMs + REST_MS;
    if (answer === 'unknown' && order.kind === 'arm')
      view.mayBeArmedLate = true;
    return view;
  }

  /** Arms all ranks that have not confirmed it. */
  armAll(nowMs: number, version: number, pass: number): readonly SentOrder[] {
    const order = {kind: 'arm', version, pass} as const;
    return this.toAll(nowMs, ({isDone}) => !isDone, order);
  }

  allReportedSince(ms: number): boolean {
    return this.views.every(({reportAtMs}) => reportAtMs >= ms);
  }

  /** The same order to each rank that wants it. */
  toAll(
    nowMs: number,
    wants: (view: RankView) => boolean,
    order: RankOrder
  ): readonly SentOrder[] {
    return this.views.flatMap((view, rank) =>
      wants(view) ? this.order(nowMs, rank, order) : []
    );
  }

  /** One order to a rank at a time. */
  order(nowMs: number, rank: number, order: RankOrder): readonly SentOrder[] {
    const view = this.views[rank];
    if (view === undefined || view.isBusy) return [];
    if (nowMs < view.restUntilMs) return [];
    view.isBusy = true;
    return [{rank, order}];
  }
}

/** A rank that a report shows to hold, taken after its last order's answer. */
export function heldAfterAnswer(
  views: readonly RankView[]
): {readonly rank: number; readonly heldPass: number} | undefined {
  const rank = views.findIndex(({report}) => report?.heldPass);
  const view = views[rank];
  const heldPass = view?.report?.heldPass;
  if (view === undefined || heldPass === undefined) return undefined;
  return view.answeredAtMs > view.reportAtMs ? undefined : {rank, heldPass};
}

/** Whether the copies that a rank began by then, or reports, are complete. */
function isCopied(view: RankView, version: number, begunByMs: number): boolean {
  if (view.report?.preparedVersion === version) return true;
  return view.isDone && view.answeredAtMs <= begunByMs;
}
