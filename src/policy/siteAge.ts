/**
 * For how long after a confirmation by the leader a node may refuse requests as its
 * site document says.
 */

/** Time from the decision until a refusal has reached the caller. */
const RESPONSE_MS = 100;

/**
 * Longest age of the confirmation, milliseconds. A version is in force everywhere
 * `applyMs` after its commit.
 */
export function maxSiteAgeMs(applyMs: number): number {
  return applyMs - RESPONSE_MS;
}
