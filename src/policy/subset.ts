/**
 * Which targets of a pool one entry follows, by rendezvous hashing. Pure, and
 * without memory: control instances that hear of the same targets choose the
 * same ones, a target that comes or goes moves only its own places, and an
 * entry that comes or goes moves nobody else's.
 */

import murmurhash from 'murmurhash';

/** A target that may be followed. */
export interface SubsetCandidate {
  readonly targetId: string;
  readonly availabilityZone: string;
  /** Whether it may take new work now; the others only fill up. */
  readonly usable: boolean;
  /** `targetKey` of `targetId`, kept since it is hashed for every entry. */
  readonly key: Uint8Array;
}

/** Seed of an entry's ranking, from its name. */
export function entrySeed(entryName: string): number {
  return murmurhash.v3(entryName, 0);
}

/** What a target is ranked by. */
export function targetKey(targetId: string): Uint8Array {
  return new TextEncoder().encode(targetId);
}

interface Ranked<C> {
  readonly candidate: C;
  readonly score: number;
}

/**
 * The `size` usable candidates that rank highest for this entry, and the
 * highest of each zone that would be without one: a zone that is lost must
 * leave the entry others to go to. Those that may take no work are taken only
 * where the usable ones are too few.
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
    keepBest(best, ranked, size);
    const known = bestOfZone.get(candidate.availabilityZone);
    if (known === undefined || isHigher(ranked, known))
      bestOfZone.set(candidate.availabilityZone, ranked);
  }
  const chosen = best.map(ranked => ranked.candidate);
  const zones = new Set(chosen.map(one => one.availabilityZone));
  for (const [zone, {candidate}] of bestOfZone)
    if (!zones.has(zone)) chosen.push(candidate);
  return chosen.length < size
    ? [...chosen, ...fill(seed, candidates, size - chosen.length)]
    : chosen;
}

function fill<C extends SubsetCandidate>(
  seed: number,
  candidates: readonly C[],
  size: number
): readonly C[] {
  const best: Ranked<C>[] = [];
  for (const candidate of candidates)
    if (!candidate.usable) keepBest(best, rank(seed, candidate), size);
  return best.map(ranked => ranked.candidate);
}

function rank<C extends SubsetCandidate>(
  seed: number,
  candidate: C
): Ranked<C> {
  return {candidate, score: murmurhash.v3(candidate.key, seed)};
}

/** `best` is in descending order and holds `size` at most. */
function keepBest<C extends SubsetCandidate>(
  best: Ranked<C>[],
  ranked: Ranked<C>,
  size: number
): void {
  const last = best[size - 1];
  if (last !== undefined && !isHigher(ranked, last)) return;
  let at = Math.min(best.length, size - 1);
  for (; at > 0 && isHigher(ranked, best[at - 1]!); at--)
    best[at] = best[at - 1]!;
  best[at] = ranked;
}

function isHigher<C extends SubsetCandidate>(
  one: Ranked<C>,
  other: Ranked<C>
): boolean {
  if (one.score !== other.score) return one.score > other.score;
  return one.candidate.targetId < other.candidate.targetId;
}
