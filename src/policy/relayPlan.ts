/**
 * Splits a fan-out to many ranks among the nodes near them.
 *
 * The same large order goes to each of a hundred ranks at once. If the leader
 * sends it alone, its link and CPU carry one copy per rank, and the time grows
 * with the group size. Instead each relay gets one compressed copy and forwards
 * it to a few ranks, so the time hardly depends on the number of ranks.
 */

/** Groups up to this size are called directly, within a few milliseconds. */
const MAX_DIRECT_RANKS = 16;
/** Small enough for the link of a relay to carry all copies in one round trip. */
const RANKS_PER_RELAY = 6;

/** Address of a node or rank, and its zone. */
export interface ZonedAddress {
  /** IP address of a node, or HOST:PORT of a rank. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** Ranks of a fan-out that are called by the same node. */
export interface RelayBatch<T> {
  /** Address of the node that forwards the calls; absent for direct calls. */
  readonly relay?: string;
  readonly ranks: readonly T[];
}

/**
 * Assigns the ranks of a fan-out to relays. A rank is called by a relay of its
 * zone if there is one. `relays` are in order of preference.
 */
export function planRelays<T extends ZonedAddress>(
  ranks: readonly T[],
  relays: readonly ZonedAddress[]
): readonly RelayBatch<T>[] {
  if (ranks.length <= MAX_DIRECT_RANKS || relays.length === 0) return [{ranks}];
  const batches = new Map<string, T[]>();
  const unmatched: T[] = [];
  for (const [zone, ofZone] of groupByZone(ranks)) {
    const zoneRelays = relays.filter(relay => relay.availabilityZone === zone);
    if (zoneRelays.length === 0) unmatched.push(...ofZone);
    else distribute(ofZone, zoneRelays, batches);
  }
  const sizeOf = ({address}: ZonedAddress) => batches.get(address)?.length ?? 0;
  const leastLoadedFirst = [...relays].sort((a, b) => sizeOf(a) - sizeOf(b));
  if (unmatched.length > 0) distribute(unmatched, leastLoadedFirst, batches);
  return [...batches].map(([relay, ofRelay]) => ({relay, ranks: ofRelay}));
}

/** Distributes ranks evenly over as few relays as `RANKS_PER_RELAY` permits. */
function distribute<T>(
  ranks: readonly T[],
  relays: readonly ZonedAddress[],
  batches: Map<string, T[]>
): void {
  const count = Math.min(
    relays.length,
    Math.ceil(ranks.length / RANKS_PER_RELAY)
  );
  ranks.forEach((rank, i) => {
    const relay = relays[i % count];
    if (relay === undefined) return;
    const batch = batches.get(relay.address) ?? [];
    batch.push(rank);
    batches.set(relay.address, batch);
  });
}

function groupByZone<T extends ZonedAddress>(
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
