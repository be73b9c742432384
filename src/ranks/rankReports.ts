/** Conclusions from the combined reports of all ranks of a group. */

import type {RankReport} from '../ports/rankPort';

/** Versions that have become active, or are certain to, on all ranks. */
export type ReleasedVersions = ReadonlySet<number>;

/** Whether no switch is under way other than released ones. */
export function hasNoPendingSwitch(
  reports: readonly RankReport[],
  released: ReleasedVersions
): boolean {
  const isHeld = reports.some(({heldPass}) => heldPass !== undefined);
  return !isHeld && !isAnyArmedForUnreleased(reports, released);
}

/**
 * Pass before which the group is held, or else the pass for which a rank is
 * armed with an unreleased version.
 */
export function pendingPass(
  reports: readonly RankReport[],
  released: ReleasedVersions
): number | undefined {
  const held = reports.find(({heldPass}) => heldPass !== undefined);
  const armed = reports.find(report => isArmedForUnreleased(report, released));
  return held?.heldPass ?? armed?.armed?.pass;
}

/**
 * Version that every rank has prepared, or is armed for at that pass; undefined
 * when they differ. A version identifies one map.
 */
export function commonPreparedVersion(
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

/** Whether some rank is armed for a version that was not released. */
export function isAnyArmedForUnreleased(
  reports: readonly RankReport[],
  released: ReleasedVersions
): boolean {
  return reports.some(report => isArmedForUnreleased(report, released));
}

function isArmedForUnreleased(
  {armed}: RankReport,
  released: ReleasedVersions
): boolean {
  return armed !== undefined && !released.has(armed.version);
}

/** Whether every rank uses the map of that version. */
export function isVersionUsedByAll(
  reports: readonly RankReport[],
  version: number
): boolean {
  return reports.every(({mapVersion}) => mapVersion === version);
}
