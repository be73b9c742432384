/**
 * Splits a fan-out to many ranks among the nodes near them.
 *
 * Pattern: the same large order to each of a hundred ranks at once. Sent by the
 * leader alone, its link and processor carry one copy for each rank, and the
 * time grows with the size of the group. Each relay gets one compressed copy and
 * passes it on to a few ranks, so that the time hardly grows with the ranks.
 */

/** Groups up to this size are reached directly within a few milliseconds. */
const MAX_DIRECT_RANKS = 16;
/** Few enough that the relay's own link carries all copies in one round trip. */
const RANKS_PER_RELAY = 6;

/** A machine and where it stands. */
export interface Located {
  /** IP address of a node, or HOST:PORT of a rank. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** One share of a fan-out. */
export interface RelayShare<T> {
  /** Address of the node that passes the calls on; absent for direct calls. */
  readonly relay?: string;
  readonly ranks: readonly T[];
}

/**
 * Shares of a fan-out. Ranks are relayed within their zone where it has nodes;
 * `relays` come in order of preference.
 */
export function planRelays<T extends Located>(
  ranks: readonly T[],
  relays: readonly Located[]
): readonly RelayShare<T>[] {
  if (ranks.length <= MAX_DIRECT_RANKS || relays.length === 0) return [{ranks}];
  const shares = new Map<string, T[]>();
  const strays: T[] = [];
  for (const [zone, ofZone] of groupByZone(ranks)) {
    const near = relays.filter(relay => relay.availabilityZone === zone);
    if (near.length === 0) strays.push(...ofZone);
    else deal(ofZone, near, shares);
  }
  const sizeOf = ({address}: Located) => shares.get(address)?.length ?? 0;
  const byLoad = [...relays].sort((a, b) => sizeOf(a) - sizeOf(b));
  if (strays.length > 0) deal(strays, byLoad, shares);
  return [...shares].map(([relay, ofRelay]) => ({relay, ranks: ofRelay}));
}

/** Deals ranks out evenly among as many relays as are worth a copy each. */
function deal<T>(
  ranks: readonly T[],
  relays: readonly Located[],
  shares: Map<string, T[]>
): void {
  const count = Math.min(
    relays.length,
    Math.ceil(ranks.length / RANKS_PER_RELAY)
  );
  ranks.forEach((rank, i) => {
    const relay = relays[i % count];
    if (relay === undefined) return;
    const share = shares.get(relay.address) ?? [];
    share.push(rank);
    shares.set(relay.address, share);
  });
}

function groupByZone<T extends Located>(
  ranks: readonly T[]
): ReadonlyMap<string, readonly T[]> {
  const zones = new Map<string, T[]>();
  for (const rank of ranks) {
    const ofZone = zones.get(rank.availabilityZone) ?? [];
    ofZone.push(rank);
    zones.set(rank.availabilityZone, ofZone);
  }
  return zones;
}
