/**
 * Divides the rate limit of one target among nodes, as tokens that expire.
 *
 * A target takes so many requests per second from all nodes together. An even split
 * would give each of a hundred nodes a hundredth of a request, and one request each
 * is far above the limit. So the leader alone holds a token bucket, and hands whole
 * tokens, each for one request, to the nodes that are likely to use them. A token
 * that is not used expires, so that the tokens of many nodes cannot add up after a
 * quiet while; the node returns it with its next report.
 *
 * In any window of `w` seconds the nodes can use what was granted in it and in the
 * lease before it: `limit * (w + TOKEN_LEASE_S + BURST_S) + BURST_TOKENS`.
 */

import {TurnQueue} from './turnQueue';

/** Time in which a token must be used, from the report that it answers. */
export const TOKEN_LEASE_S = 0.7;
/**
 * Rate at which a target with a lower limit is tried: no response would tell that a
 * limit of 0 has ended.
 */
const MIN_RATE_PER_S = 0.25;
/** Capacity of the bucket: one token, and what accrues between two reports. */
const BURST_TOKENS = 1;
const BURST_S = 0.1;
/** An earlier leader grants tokens for this long until it steps down. */
const TAKEOVER_S = 0.7;
const MS_PER_S = 1_000;

/** What a node would use tokens for. */
export interface TokenDemand {
  readonly node: string;
  /** Requests that no target can take without a token. */
  readonly waiting: number;
  /** Whether it holds permits for the target, so that its next requests go there. */
  readonly hasPermits: boolean;
  /** Period in which each node reports, milliseconds. */
  readonly reportPeriodMs: number;
}

/** Allocates the tokens of one target. */
export class RateAllocator {
  private tokens: number;
  private refilledAtMs: number;
  /** Nodes with requests that wait; they come before those with permits. */
  private readonly waiting = new TurnQueue();
  private readonly holders = new TurnQueue();

  constructor(
    private limit: number,
    nowMs: number
  ) {
    this.tokens = -this.rate * TAKEOVER_S;
    this.refilledAtMs = nowMs;
  }

  /** Changes the limit, requests per second. */
  setLimit(limit: number, nowMs: number): void {
    this.refill(nowMs);
    this.limit = limit;
    this.tokens = Math.min(this.tokens, this.capacity);
  }

  /** Returns the tokens for a node that has just reported, a whole number. */
  grant(demand: TokenDemand, nowMs: number): number {
    const {node, waiting, hasPermits, reportPeriodMs} = demand;
    this.refill(nowMs);
    this.waiting.evict(reportPeriodMs, nowMs);
    this.holders.evict(reportPeriodMs, nowMs);
    if (waiting > 0) return this.take(this.waiting, demand, waiting, nowMs);
    this.waiting.leave(node);
    if (!hasPermits || this.waiting.size > 0) return 0;
    return this.take(this.holders, demand, Infinity, nowMs);
  }

  /** Takes back tokens that have expired unused. */
  refund(count: number, nowMs: number): void {
    this.refill(nowMs);
    this.tokens = Math.min(this.capacity, this.tokens + count);
  }

  /** Takes account of calls that are made without a token. */
  charge(calls: number, nowMs: number): void {
    this.refill(nowMs);
    this.tokens -= calls;
  }

  private take(
    queue: TurnQueue,
    {node, reportPeriodMs}: TokenDemand,
    atMost: number,
    nowMs: number
  ): number {
    queue.enter(node, nowMs);
    const available = Math.floor(this.tokens);
    if (!queue.isTurnOf(node, available, reportPeriodMs)) return 0;
    const share = Math.max(1, Math.floor(available / queue.size));
    const count = Math.min(atMost, share);
    queue.leave(node);
    this.tokens -= count;
    return count;
  }

  private get rate(): number {
    return Math.max(MIN_RATE_PER_S, this.limit);
  }

  private get capacity(): number {
    return BURST_TOKENS + this.rate * BURST_S;
  }

  private refill(nowMs: number): void {
    const elapsedS = Math.max(0, nowMs - this.refilledAtMs) / MS_PER_S;
    this.refilledAtMs = Math.max(this.refilledAtMs, nowMs);
    this.tokens = Math.min(this.capacity, this.tokens + this.rate * elapsedS);
  }
}
