/** Requests that this node refused lately, by which it recognizes their retries. */

/** What is known about the request of an arrival. */
export type ReturnState =
  /** This node has not refused it. */
  | {readonly kind: 'new'}
  /** It returns as told. */
  | {readonly kind: 'due'}
  /** It returns before the time that it was told, which is `waitMs` away. */
  | {readonly kind: 'early'; readonly waitMs: number};

/** Callers return within 2.6 s; the rest covers delays of the caller and the network. */
const RETENTION_MS = 6_000;
/**
 * Callers measure their remaining time themselves and round Retry-After, so they may
 * return slightly before the assigned time.
 */
const EARLY_TOLERANCE_MS = 50;
/**
 * Bounds the memory under a flood of distinct prompt ids; by customer, so that a flood
 * does not evict the requests of others.
 */
const MAX_PER_CUSTOMER = 5_000;

interface Refused {
  readonly refusedAtMs: number;
  readonly dueAtMs: number;
}

/** Requests of one customer by prompt id, the oldest refusal first. */
type CustomerRequests = Map<string, Refused>;

/**
 * Refused requests by customer and prompt id. A prompt id counts only for its own
 * customer, so that no caller takes the place of another customer's.
 */
export class RefusedRequests {
  private readonly byCustomer = new Map<string, CustomerRequests>();

  /** Records a refusal whose caller was told to return at `dueAtMs`. */
  record(
    customer: string,
    promptId: string | undefined,
    dueAtMs: number,
    nowMs: number
  ): void {
    if (promptId === undefined) return;
    const requests =
      this.byCustomer.get(customer) ?? new Map<string, Refused>();
    this.byCustomer.set(customer, requests);
    requests.delete(promptId);
    requests.set(promptId, {refusedAtMs: nowMs, dueAtMs});
    evict(requests, nowMs);
  }

  /** Looks up a request as it arrives; one that is due is forgotten. */
  take(
    customer: string,
    promptId: string | undefined,
    nowMs: number
  ): ReturnState {
    if (promptId === undefined) return {kind: 'new'};
    const requests = this.byCustomer.get(customer);
    const refused = requests?.get(promptId);
    if (refused === undefined || isExpired(refused, nowMs))
      return {kind: 'new'};
    const waitMs = refused.dueAtMs - nowMs;
    if (waitMs > EARLY_TOLERANCE_MS) return {kind: 'early', waitMs};
    requests?.delete(promptId);
    return {kind: 'due'};
  }
}

function evict(requests: CustomerRequests, nowMs: number): void {
  for (const [promptId, refused] of requests) {
    const isFull = requests.size > MAX_PER_CUSTOMER;
    if (!isFull && !isExpired(refused, nowMs)) return;
    requests.delete(promptId);
  }
}

function isExpired({refusedAtMs}: Refused, nowMs: number): boolean {
  return nowMs - refusedAtMs > RETENTION_MS;
}
