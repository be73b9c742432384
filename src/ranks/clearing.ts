/**
 * Takes back a switch whose arming failed, rank by rank. A rank that may still
 * get a late arm order is given a newer copy of the map in use: the version
 * that the late order names is not there any more, and it is refused.
 */

import type {MapLists, OrderAnswer, RankOrder} from '../ports/rankPort';
import type {RankViews} from './rankViews';
import type {RankView, SentOrder} from './switchPhase';

/** Reports show what was 200 ms ago; an answer comes within 5 ms. */
const SETTLE_MS = 450;

/** Whether the rank is not armed, and never will be for the old version. */
export function isCleared(view: RankView, clearVersion: number): boolean {
  const {report, isDisarmed, isDone} = view;
  if (!isDisarmed || report === undefined) return false;
  if (!isSettled(view) || report.armed !== undefined) return false;
  if (!view.mayBeArmedLate) return true;
  return isDone && report.preparedVersion === clearVersion;
}

/** What all ranks are to be told next. */
export function clearingOrders(
  ranks: RankViews,
  nowMs: number,
  clearVersion: number,
  lists: MapLists
): readonly SentOrder[] {
  // Copies go out together, once no rank is left that may still be armed.
  const areDisarmed = ranks.views.every(({isDisarmed}) => isDisarmed);
  return ranks.views.flatMap((view, rank) => {
    if (view.isDisarmed && !areDisarmed) return [];
    const order = clearingOrder(view, clearVersion, lists);
    return order === undefined ? [] : ranks.order(nowMs, rank, order);
  });
}

function clearingOrder(
  view: RankView,
  clearVersion: number,
  lists: MapLists
): RankOrder | undefined {
  const armed = view.report?.armed;
  const isLateArm = armed !== undefined && isSettled(view);
  if (!view.isDisarmed || isLateArm)
    return {kind: 'disarm', version: armed?.version ?? clearVersion - 1};
  if (!view.mayBeArmedLate || view.isDone) return undefined;
  return {kind: 'prepare', version: clearVersion, lists};
}

/** Takes in the answer to such an order. */
export function noteClearing(
  view: RankView,
  order: RankOrder,
  answer: OrderAnswer
): void {
  if (order.kind === 'disarm' && answer !== 'unknown') view.isDisarmed = true;
  if (order.kind !== 'prepare') return;
  if (answer === 'unknown') view.mayBePrepared = true;
  if (answer === 'done') view.isDone = true;
  if (answer !== 'refused') return;
  // Refused the second time since it is there, or since a late arm came.
  if (view.mayBePrepared) view.isDone = true;
  else view.isDisarmed = false;
}

/** Whether the latest report was taken after the last order took effect. */
function isSettled(view: RankView): boolean {
  return view.reportAtMs >= view.answeredAtMs + SETTLE_MS;
}
