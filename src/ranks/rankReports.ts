/** What the reports of all ranks of a group say together. */

import type {RankReport} from '../ports/rankPort';

/** Versions whose pass is sure to begin, or has begun, on all ranks alike. */
export type Released = ReadonlySet<number>;

/** Whether no switch is under way beside those that were let go. */
export function isNothingPending(
  reports: readonly RankReport[],
  released: Released
): boolean {
  const isHeld = reports.some(({heldPass}) => heldPass !== undefined);
  return !isHeld && !isArmedOtherwise(reports, released);
}

/** Pass before which the group waits, or at which some rank is to switch. */
export function pendingPass(
  reports: readonly RankReport[],
  released: Released
): number | undefined {
  const held = reports.find(({heldPass}) => heldPass !== undefined);
  const armed = reports.find(report => isStray(report, released));
  return held?.heldPass ?? armed?.armed?.pass;
}

/**
 * Version that every rank holds beside the map in use, or is armed for at that
 * pass; undefined when they differ. A version stands for one map.
 */
export function preparedByAll(
  reports: readonly RankReport[],
  pass: number
): number | undefined {
  const versions = new Set(
    reports.map(({armed, preparedVersion}) =>
      armed?.pass === pass ? armed.version : preparedVersion
    )
  );
  const [version = 0] = versions;
  return versions.size === 1 && version > 0 ? version : undefined;
}

/** Whether some rank is armed for a version that was not let go. */
export function isArmedOtherwise(
  reports: readonly RankReport[],
  released: Released
): boolean {
  return reports.some(report => isStray(report, released));
}

function isStray({armed}: RankReport, released: Released): boolean {
  return armed !== undefined && !released.has(armed.version);
}

/** Whether every rank uses the map of that version. */
export function isMapOfAll(
  reports: readonly RankReport[],
  version: number
): boolean {
  return reports.every(({mapVersion}) => mapVersion === version);
}
