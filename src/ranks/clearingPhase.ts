/**
 * Rolls back a switch whose arming failed, rank by rank. A rank that may still
 * receive a late arm order gets a newer copy of the map in use. The copy
 * replaces the version that the late order names, so the rank refuses it.
 */

import type {GroupExpertMap, OrderAnswer, RankOrder} from '../ports/rankPort';
import type {RankViews} from './rankViews';
import type {OutgoingOrder, RankView} from './switchPhase';

/**
 * Time after the response to an order from which a requested report certainly
 * shows its effect: reports show the state of 200 ms ago, and responses arrive
 * within 5 ms.
 */
const REPORT_SETTLE_MS = 450;

/** Whether the rank is not armed, and can no longer be for the old version. */
export function isCleared(view: RankView, replacementVersion: number): boolean {
  const {report, isDisarmed, isConfirmed} = view;
  if (!isDisarmed || report === undefined) return false;
  if (!isReportSettled(view) || report.armed !== undefined) return false;
  if (!view.mayBeArmedLate) return true;
  return isConfirmed && report.preparedVersion === replacementVersion;
}

/** Orders that the rollback needs next. */
export function clearingOrders(
  ranks: RankViews,
  nowMs: number,
  replacementVersion: number,
  lists: GroupExpertMap
): readonly OutgoingOrder[] {
  // Copies are sent to all ranks at once, after every rank has been disarmed.
  const areAllDisarmed = ranks.views.every(({isDisarmed}) => isDisarmed);
  return ranks.views.flatMap((view, rank) => {
    if (view.isDisarmed && !areAllDisarmed) return [];
    const order = clearingOrder(view, replacementVersion, lists);
    return order === undefined ? [] : ranks.order(nowMs, rank, order);
  });
}

function clearingOrder(
  view: RankView,
  replacementVersion: number,
  lists: GroupExpertMap
): RankOrder | undefined {
  const armed = view.report?.armed;
  const isLateArm = armed !== undefined && isReportSettled(view);
  if (!view.isDisarmed || isLateArm)
    return {kind: 'disarm', version: armed?.version ?? replacementVersion - 1};
  if (!view.mayBeArmedLate || view.isConfirmed) return undefined;
  return {kind: 'prepare', version: replacementVersion, lists};
}

/** Notes the response to a clearing order. */
export function noteClearingAnswer(
  view: RankView,
  order: RankOrder,
  answer: OrderAnswer
): void {
  if (order.kind === 'disarm' && answer !== 'unknown') view.isDisarmed = true;
  if (order.kind !== 'prepare') return;
  if (answer === 'unknown') view.mayBePrepared = true;
  if (answer === 'done') view.isConfirmed = true;
  if (answer !== 'refused') return;
  // After an unknown outcome, a refusal proves that the copy was begun.
  // Otherwise a late arm order was carried out, and the rank has to be disarmed
  // again.
  if (view.mayBePrepared) view.isConfirmed = true;
  else view.isDisarmed = false;
}

/** Whether the latest report shows the effect of the last order. */
function isReportSettled(view: RankView): boolean {
  return view.reportRequestedAtMs >= view.respondedAtMs + REPORT_SETTLE_MS;
}
