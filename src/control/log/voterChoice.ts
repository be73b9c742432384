/** Which instances vote when their number is bounded, by availability zone. */

import {sum} from '../../core/sum';

/** The voters, and the instances that may become voters. */
export interface VoterPool {
  readonly voters: readonly string[];
  /** Instances that may be added, the earliest known first. */
  readonly others: readonly string[];
  readonly maxVoters: number;
  /** Fewest voters; below it the spread over zones is not enforced. */
  readonly minVoters: number;
  /** Whether a voter is silent that cannot be removed without a replacement. */
  readonly needsReplacement: boolean;
  /** Undefined while the zone is not known. */
  zoneOf(id: string): string | undefined;
}

/** From this number of zones on, no zone may hold more than a third. */
const ZONES_FOR_THIRDS = 3;
/** A move to another zone must make the spread more even. */
const MIN_GAP_FOR_MOVE = 2;

/** The instance that should become a voter next, if any. */
export function nextVoter(pool: VoterPool): string | undefined {
  const {voters, needsReplacement} = pool;
  const counts = votersByZone(pool);
  const best = withFewest(pool, counts);
  const size = groupSize(pool);
  if (best === undefined || voters.length < size || needsReplacement)
    return best;
  if (voters.length > size) return undefined;
  return improvesSpread(pool, counts, best) ? best : undefined;
}

/**
 * The voter to remove while there are too many: one of the zone with the most
 * voters. `fixed` stays, for example the leader itself.
 */
export function surplusVoter(
  pool: VoterPool,
  fixed: string
): string | undefined {
  if (pool.voters.length <= groupSize(pool)) return undefined;
  const counts = votersByZone(pool);
  const countOf = (id: string) => counts.get(pool.zoneOf(id)) ?? 0;
  const removable = pool.voters.filter(id => id !== fixed);
  const most = Math.max(...removable.map(countOf));
  return removable.findLast(id => countOf(id) === most);
}

type ZoneCounts = ReadonlyMap<string | undefined, number>;

function votersByZone({voters, others, zoneOf}: VoterPool): ZoneCounts {
  const counts = new Map<string | undefined, number>();
  for (const id of others) counts.set(zoneOf(id), 0);
  for (const id of voters) {
    const zone = zoneOf(id);
    counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}

function withFewest(
  {others, zoneOf}: VoterPool,
  counts: ZoneCounts
): string | undefined {
  const countOf = (id: string) => counts.get(zoneOf(id)) ?? 0;
  const fewest = Math.min(...others.map(countOf));
  return others.find(id => countOf(id) === fewest);
}

/**
 * The number of voters to reach: the highest at which no zone needs to hold more
 * than a third, but at least `minVoters`.
 */
function groupSize({
  voters,
  others,
  zoneOf,
  maxVoters,
  minVoters,
}: VoterPool): number {
  const instances = new Map<string | undefined, number>();
  for (const id of [...voters, ...others])
    instances.set(zoneOf(id), (instances.get(zoneOf(id)) ?? 0) + 1);
  const most = Math.min(maxVoters, voters.length + others.length);
  if (instances.size < ZONES_FOR_THIRDS || instances.has(undefined))
    return most;
  for (let size = most; size > minVoters; size--) {
    const third = Math.ceil(size / ZONES_FOR_THIRDS);
    const usable = sum(
      [...instances.values()].map(count => Math.min(count, third))
    );
    if (usable >= size) return size;
  }
  return Math.min(most, minVoters);
}

/** False while the zone of a voter is unknown: its zone would seem overfull. */
function improvesSpread(
  {voters, zoneOf}: VoterPool,
  counts: ZoneCounts,
  added: string
): boolean {
  if (voters.some(id => zoneOf(id) === undefined)) return false;
  const fewest = counts.get(zoneOf(added)) ?? 0;
  return Math.max(...counts.values()) - fewest >= MIN_GAP_FOR_MOVE;
}
