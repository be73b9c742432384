/**
 * Which targets of a pool one entry follows, by rendezvous hashing. Pure, and
 * without memory: control instances that hear of the same targets choose the
 * same ones, a target that comes or goes moves only its own places, and an
 * entry that comes or goes moves nobody else's.
 */

/** A target that may be followed. */
export interface SubsetCandidate {
  readonly targetId: string;
  readonly availabilityZone: string;
  /** Whether it may take new work now; the others only fill up. */
  readonly usable: boolean;
  /** `hashId` of `targetId`. */
  readonly hash: number;
}

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit hash of a name. */
export function hashId(id: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < id.length; i++)
    hash = Math.imul(hash ^ id.charCodeAt(i), FNV_PRIME);
  return mix(hash);
}

/** Finalizer of MurmurHash3: each bit of the input turns half of the output. */
function mix(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
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
  entryHash: number,
  candidates: readonly C[],
  size: number
): readonly C[] {
  if (candidates.length <= size) return candidates;
  const best: Ranked<C>[] = [];
  const bestOfZone = new Map<string, Ranked<C>>();
  for (const candidate of candidates) {
    if (!candidate.usable) continue;
    const ranked = rank(entryHash, candidate);
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
    ? [...chosen, ...fill(entryHash, candidates, size - chosen.length)]
    : chosen;
}

function fill<C extends SubsetCandidate>(
  entryHash: number,
  candidates: readonly C[],
  size: number
): readonly C[] {
  const best: Ranked<C>[] = [];
  for (const candidate of candidates)
    if (!candidate.usable) keepBest(best, rank(entryHash, candidate), size);
  return best.map(ranked => ranked.candidate);
}

function rank<C extends SubsetCandidate>(
  entryHash: number,
  candidate: C
): Ranked<C> {
  // The sum alone would give two entries with near hashes the same order.
  return {candidate, score: mix(Math.imul(entryHash, 5) + candidate.hash)};
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
