/** What a switch knows of each rank, and the orders on their way to them. */

import type {RankOrder, RankReport} from '../ports/rankPort';
import type {RankView, SentOrder} from './switchPhase';
import {unknownRank} from './switchPhase';

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
