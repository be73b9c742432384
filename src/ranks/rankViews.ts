/** What a switch knows of each rank, and the orders on their way to them. */

import type {RankOrder, RankReport} from '../ports/rankPort';
import type {RankView, SentOrder, SwitchPhase} from './switchPhase';
import {isReportDue, unknownRank} from './switchPhase';

/** Holds are placed here, and the passes of the group are counted here. */
export const CLOCK_RANK = 0;

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

  /** Whether a report of the rank could move the switch on. */
  needsReport(rank: number, phase: SwitchPhase, isLastInForce: boolean) {
    const view = this.views[rank];
    if (view === undefined || rank === CLOCK_RANK) return true;
    return isReportDue(phase, view, isLastInForce);
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
export function isCopied(
  view: RankView,
  version: number,
  begunByMs: number
): boolean {
  if (view.report?.preparedVersion === version) return true;
  return view.isDone && view.answeredAtMs <= begunByMs;
}
