/** What the reports of all ranks of a group say together. */

import type {RankReport} from '../ports/rankPort';

/** Whether no switch is under way. */
export function isNothingPending(reports: readonly RankReport[]): boolean {
  return reports.every(
    ({armed, heldPass}) => armed === undefined && heldPass === undefined
  );
}

/** Pass before which the group waits, or at which some rank is to switch. */
export function pendingPass(
  reports: readonly RankReport[]
): number | undefined {
  const held = reports.find(({heldPass}) => heldPass !== undefined);
  const armed = reports.find(report => report.armed !== undefined);
  return held?.heldPass ?? armed?.armed?.pass;
}

/** Whether some rank is armed for another version than the one expected. */
export function isArmedOtherwise(
  reports: readonly RankReport[],
  expected: number | undefined
): boolean {
  return reports.some(
    ({armed}) => armed !== undefined && armed.version !== expected
  );
}

/** Whether every rank uses the map of that version. */
export function isMapOfAll(
  reports: readonly RankReport[],
  version: number
): boolean {
  return reports.every(({mapVersion}) => mapVersion === version);
}
