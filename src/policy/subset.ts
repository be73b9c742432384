/**
 * Chooses the subset of a pool's targets that one entry uses, by rendezvous hashing.
 * The choice is a pure function: control instances that know the same targets choose
 * the same subsets. A target that joins or leaves changes only its own membership,
 * and an entry that joins or leaves changes the subset of no other entry.
 */

import murmurhash from 'murmurhash';

/** A target that may be chosen for a subset. */
export interface SubsetCandidate {
  readonly targetId: string;
  readonly availabilityZone: string;
  /** Whether it accepts new work now; other targets only fill up the subset. */
  readonly usable: boolean;
  /** `targetKey` of `targetId`; cached because it is hashed for every entry. */
  readonly key: Uint8Array;
}

/** Returns the hash seed of an entry's ranking. */
export function entrySeed(entryName: string): number {
  return murmurhash.v3(entryName, 0);
}

/** Returns the bytes that are hashed to rank a target. */
export function targetKey(targetId: string): Uint8Array {
  return new TextEncoder().encode(targetId);
}

interface Ranked<C> {
  readonly candidate: C;
  readonly score: number;
}

/**
 * Returns the `size` usable candidates that rank highest for this entry, plus the
 * highest of each zone that has none among them, so that the loss of a zone leaves
 * the entry other targets. Unusable candidates are added only if there are too few
 * usable ones.
 */
export function chooseSubset<C extends SubsetCandidate>(
  seed: number,
  candidates: readonly C[],
  size: number
): readonly C[] {
  if (candidates.length <= size) return candidates;
  const best: Ranked<C>[] = [];
  const bestOfZone = new Map<string, Ranked<C>>();
  for (const candidate of candidates) {
    if (!candidate.usable) continue;
    const ranked = rank(seed, candidate);
    insertIfRanked(best, ranked, size);
    const known = bestOfZone.get(candidate.availabilityZone);
    if (known === undefined || isHigher(ranked, known))
      bestOfZone.set(candidate.availabilityZone, ranked);
  }
  const chosen = best.map(ranked => ranked.candidate);
  const zones = new Set(chosen.map(one => one.availabilityZone));
  for (const [zone, {candidate}] of bestOfZone)
    if (!zones.has(zone)) chosen.push(candidate);
  return chosen.length < size
    ? [...chosen, ...highestUnusable(seed, candidates, size - chosen.length)]
    : chosen;
}

/** Returns the `size` highest-ranked unusable candidates. */
function highestUnusable<C extends SubsetCandidate>(
  seed: number,
  candidates: readonly C[],
  size: number
): readonly C[] {
  const best: Ranked<C>[] = [];
  for (const candidate of candidates)
    if (!candidate.usable) insertIfRanked(best, rank(seed, candidate), size);
  return best.map(ranked => ranked.candidate);
}

function rank<C extends SubsetCandidate>(
  seed: number,
  candidate: C
): Ranked<C> {
  return {candidate, score: murmurhash.v3(candidate.key, seed)};
}

/** Inserts into `best`, which is in descending order and limited to `size`. */
function insertIfRanked<C extends SubsetCandidate>(
  best: Ranked<C>[],
  ranked: Ranked<C>,
  size: number
): void {
  const last = best[size - 1];
  if (last !== undefined && !isHigher(ranked, last)) return;
  let index = Math.min(best.length, size - 1);
  for (; index > 0 && isHigher(ranked, best[index - 1]!); index--)
    best[index] = best[index - 1]!;
  best[index] = ranked;
}

function isHigher<C extends SubsetCandidate>(
  one: Ranked<C>,
  other: Ranked<C>
): boolean {
  if (one.score !== other.score) return one.score > other.score;
  return one.candidate.targetId < other.candidate.targetId;
}
