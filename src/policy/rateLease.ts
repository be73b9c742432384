/** What one node may send to one target with a rate limit. */

import {RateWindow} from './rateWindow';
import {TOKEN_LEASE_S} from './rateAllocator';
import {SAFE_WINDOW_MS} from './safeShare';

const MS_PER_S = 1_000;
/** A request may reach the target this long after it was counted. */
const DELIVERY_MS = 200;

/** Tokens that the leader granted in one reply. */
interface TokenGrant {
  readonly count: number;
  readonly expiresAtMs: number;
  /** The limit that they are a part of, requests per second. */
  readonly limit: number;
}

/** Tokens of one node, and its sends without tokens. */
export class RateLease {
  private grants: readonly TokenGrant[] = [];
  private unused = 0;
  private readonly unleased = new RateWindow(SAFE_WINDOW_MS + DELIVERY_MS);

  /**
   * Adds tokens. Their time begins with the report that asked for them, so that a
   * reply that was held up, or a node that froze, does not prolong them.
   */
  add(count: number, limit: number, reportSentAtMs: number): void {
    if (count < 1) return;
    const expiresAtMs = reportSentAtMs + TOKEN_LEASE_S * MS_PER_S;
    this.grants = [...this.grants, {count, expiresAtMs, limit}];
  }

  /** Whether a request may be sent; `safeShare` applies without a token. */
  allows(limit: number, safeShare: number, nowMs: number): boolean {
    this.dropVoid(limit, nowMs);
    return this.grants.length > 0 || this.unleased.allows(nowMs, safeShare);
  }

  /** Uses up the token that expires first, or a part of the safe share. */
  spend(limit: number, nowMs: number): void {
    this.dropVoid(limit, nowMs);
    const [first, ...others] = this.grants;
    if (first === undefined) this.unleased.add(nowMs);
    else if (first.count === 1) this.grants = others;
    else this.grants = [{...first, count: first.count - 1}, ...others];
  }

  /** Tokens that became void unused since the last call; the leader has them again. */
  takeUnused(limit: number, nowMs: number): number {
    this.dropVoid(limit, nowMs);
    const {unused} = this;
    this.unused = 0;
    return unused;
  }

  /** Drops tokens that have expired or were granted for a higher limit. */
  private dropVoid(limit: number, nowMs: number): void {
    const isValid = (grant: TokenGrant) =>
      nowMs < grant.expiresAtMs && grant.limit <= limit;
    for (const grant of this.grants)
      if (!isValid(grant)) this.unused += grant.count;
    this.grants = this.grants.filter(isValid);
  }
}
