/**
 * Splits a message to all nodes among relays: with hundreds of nodes a single sender
 * would take longer than callers can be kept waiting.
 */

/** Up to this many nodes are called directly. */
const MAX_DIRECT_NODES = 48;

/** Nodes that get a message by one call: the first forwards it to the others. */
export type FanOutBranch = readonly [relay: string, ...others: string[]];

/**
 * Splits nodes into branches of about the square root of their number. Senders that
 * know the same nodes choose the same relays, so that a relay can join their messages.
 */
export function planFanOut(nodes: readonly string[]): readonly FanOutBranch[] {
  const sorted = [...nodes].sort();
  const size =
    sorted.length <= MAX_DIRECT_NODES ? 1 : Math.ceil(Math.sqrt(sorted.length));
  const branches: FanOutBranch[] = [];
  for (let i = 0; i < sorted.length; i += size) {
    const [relay, ...others] = sorted.slice(i, i + size);
    if (relay !== undefined) branches.push([relay, ...others]);
  }
  return branches;
}
