/** The order in which nodes are tried in the search for the leader. */

import type {NodeDirectory} from './nodeDirectory';
import type {UnresponsiveNodes} from './unresponsiveNodes';

/** What a search knows so far. */
export interface SearchState {
  /** Addresses that were called. */
  readonly tried: ReadonlySet<string>;
  /** The known leader, and addresses that others named, the latest first. */
  readonly named: readonly string[];
  /** Whether the next try is the last one. */
  readonly isLastTry: boolean;
}

/** Chooses the next node to try. */
export class LeaderCandidates {
  private nextIndex = 0;

  constructor(
    private readonly directory: NodeDirectory,
    private readonly unresponsive: UnresponsiveNodes,
    private readonly nowMs: () => number
  ) {}

  /**
   * A named node, or else any other. Nodes that did not answer lately come last:
   * many may still name a leader that is lost. If only such a one is named, the
   * last try is for it.
   */
  next({tried, named, isLastTry}: SearchState): string | undefined {
    const nowMs = this.nowMs();
    const isUntried = (ip: string) =>
      !tried.has(ip) && ip !== this.directory.self.ip;
    const isResponsive = (ip: string) =>
      isUntried(ip) && !this.unresponsive.has(ip, nowMs);
    const fallback = named.find(isUntried);
    const first =
      named.find(isResponsive) ?? (isLastTry ? fallback : undefined);
    return (
      first ??
      this.nextNode(isResponsive) ??
      fallback ??
      this.nextNode(isUntried)
    );
  }

  /**
   * Rotates through all nodes. Only few of many nodes vote and know a new leader
   * at once. Seeds do as founders, and every second node that is tried is one of
   * them.
   */
  private nextNode(isEligible: (ip: string) => boolean): string | undefined {
    const {self} = this.directory;
    const seeds = this.directory.seedAddresses().filter(ip => ip !== self.ip);
    const all = this.directory.probeAddresses();
    for (let i = 0; i < 2 * all.length; i++) {
      const index = this.nextIndex++;
      const addresses = index % 2 === 0 && seeds.length > 0 ? seeds : all;
      const ip = addresses[Math.floor(index / 2) % addresses.length];
      if (ip !== undefined && isEligible(ip)) return ip;
    }
    return undefined;
  }
}
