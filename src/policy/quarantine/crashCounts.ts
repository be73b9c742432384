/**
 * Counts the targets that crashed under a request, over all tries of its caller at all
 * nodes, and decides when no target gets it any more.
 *
 * A single request costs little if it is given up wrongly, and each further try may crash
 * another target. So two crashes suffice, whatever else the targets held. A request that
 * was served is no cause of the crashes before. Callers may ask for the same again and
 * again; where that was served lately, only crashes under the same request count: all its
 * tries end at the same time.
 */

/** A crash of a target under a request. */
export interface CrashUnderRequest {
  /** Unique for each boot of each target. */
  readonly boot: string;
  readonly atMs: number;
  /** When the time limit of the caller ends; `Infinity` without one. */
  readonly endsAtMs: number;
  /**
   * Whether other nodes did not know of it when the callers were answered. It counts
   * twice then: what the others send adds to what this node sends.
   */
  readonly isUnconfirmed?: boolean;
}

/** One try of a request. */
export interface RequestTry {
  /** Identity of what is asked for, over all tries. */
  readonly digest: string;
  /** When the time limit of the caller ends; `Infinity` without one. */
  readonly endsAtMs: number;
}

/** What is known of a request. */
export interface RequestEvidence {
  readonly digest: string;
  readonly service: string;
  readonly crashes: readonly CrashUnderRequest[];
  /** When a target last served it; `-Infinity` if none did. */
  readonly servedAtMs: number;
}

/** Crashes from which a request is exhausted. */
const MAX_CRASHES = 2;
/** How long it stays so after the last crash; doubled by each crash beyond. */
const FIRST_TERM_MS = 60_000;
const MAX_TERM_MS = 3_600_000;
/** Differences of the ends of one request: latencies, and callers that restate a limit. */
const SAME_END_MS = 2_000;
/** Reports of earlier crashes may be under way for so long after a service. */
const KEEP_SERVED_MS = 60_000;
const MAX_REQUESTS = 4_096;
const MAX_CRASHES_KEPT = 16;

/** Evidence by the digest of the request. */
export class CrashCounts {
  /** In the order of their last change. */
  private readonly requests = new Map<string, RequestEvidence>();

  /** Merges what another node knows; returns whether anything changed. */
  merge(evidence: RequestEvidence): boolean {
    const {digest} = evidence;
    const known = this.requests.get(digest);
    const servedAtMs = Math.max(
      evidence.servedAtMs,
      known?.servedAtMs ?? -Infinity
    );
    const crashes = new Map(known?.crashes.map(crash => [crash.boot, crash]));
    let hasLaterEnd = false;
    for (const crash of evidence.crashes) {
      const same = crashes.get(crash.boot);
      crashes.set(crash.boot, latestEnd(crash, same));
      if (same !== undefined && crash.endsAtMs > same.endsAtMs + SAME_END_MS)
        hasLaterEnd = true;
    }
    const later = [...crashes.values()]
      .filter(({atMs}) => atMs > servedAtMs)
      .slice(-MAX_CRASHES_KEPT);
    const isChange =
      hasLaterEnd ||
      later.length !== known?.crashes.length ||
      servedAtMs > known.servedAtMs;
    if (!isChange) return false;
    this.requests.delete(digest);
    this.requests.set(digest, {...evidence, crashes: later, servedAtMs});
    const [oldest] = this.requests.keys();
    if (this.requests.size > MAX_REQUESTS && oldest !== undefined)
      this.requests.delete(oldest);
    return true;
  }

  /** Notes that other nodes may not know of a crash. */
  markUnconfirmed(digest: string, boot: string): void {
    const evidence = this.requests.get(digest);
    if (evidence === undefined) return;
    const crashes = evidence.crashes.map(crash =>
      crash.boot === boot ? {...crash, isUnconfirmed: true} : crash
    );
    this.requests.set(digest, {...evidence, crashes});
  }

  /** Whether targets crashed under the request since it was last served. */
  isSuspect(digest: string): boolean {
    return this.crashCount(digest) > 0;
  }

  /** Targets that crashed under the request since it was last served. */
  crashCount(digest: string): number {
    return this.requests.get(digest)?.crashes.length ?? 0;
  }

  /**
   * Whether no target may get the request. `wasServed`: whether what it asks for was
   * served lately, to this or another caller.
   */
  isExhausted(
    {digest, endsAtMs}: RequestTry,
    wasServed: boolean,
    nowMs: number
  ): boolean {
    const evidence = this.requests.get(digest);
    if (evidence === undefined) return false;
    if (!wasServed) return nowMs < exhaustedUntilMs(evidence);
    const own = evidence.crashes.filter(
      crash => crash.endsAtMs >= endsAtMs - SAME_END_MS
    );
    return countOf(own) >= MAX_CRASHES;
  }

  find(digest: string): RequestEvidence | undefined {
    return this.requests.get(digest);
  }

  /** All requests, the last changed one last. */
  all(): readonly RequestEvidence[] {
    return [...this.requests.values()];
  }

  /** Evicts outdated evidence. */
  evict(nowMs: number): void {
    for (const [digest, {crashes, servedAtMs}] of this.requests) {
      const lastAtMs = crashes.at(-1)?.atMs;
      const isOutdated =
        lastAtMs === undefined
          ? nowMs - servedAtMs > KEEP_SERVED_MS
          : nowMs - lastAtMs > MAX_TERM_MS;
      if (isOutdated) this.requests.delete(digest);
    }
  }
}

/** Nodes may have seen tries of several callers at one boot. */
function latestEnd(
  crash: CrashUnderRequest,
  known: CrashUnderRequest | undefined
): CrashUnderRequest {
  if (known === undefined) return crash;
  return {...known, endsAtMs: Math.max(known.endsAtMs, crash.endsAtMs)};
}

function countOf(crashes: readonly CrashUnderRequest[]): number {
  const unconfirmed = crashes.filter(({isUnconfirmed}) => isUnconfirmed);
  return crashes.length + unconfirmed.length;
}

/** Until when no target gets the request; `-Infinity` if targets may. */
function exhaustedUntilMs({crashes}: RequestEvidence): number {
  const beyond = countOf(crashes) - MAX_CRASHES;
  if (beyond < 0) return -Infinity;
  const lastAtMs = Math.max(...crashes.map(({atMs}) => atMs));
  return lastAtMs + Math.min(MAX_TERM_MS, FIRST_TERM_MS * 2 ** beyond);
}
