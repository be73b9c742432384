/**
 * Claims of idempotency keys. A non-idempotent call is dispatched only after
 * its key has been claimed here. Two entries with the same key therefore cannot
 * both dispatch it, and a repeated call gets the recorded response.
 */

import {parse, version as uuidVersion, validate} from 'uuid';
import {unreachable} from '../../core/errors';
import type {
  ClaimResult,
  LookupResult,
  RecordedAnswer,
} from '../../core/claims';
import type {ClaimCommand, SettleCommand, SettleResult} from './command';

/** Retention time of responses and maximum age of a key with a timestamp. */
export const KEY_RETENTION_MS = 24 * 60 * 60 * 1000;
/** Maximum number of keys per customer; further new keys are refused. */
export const MAX_KEYS_PER_CUSTOMER = 200_000;
/** A key with a timestamp further in the future is treated as having none. */
const MAX_CLOCK_SKEW_MS = 5 * 60 * 1000;
/** Records checked for expiry at each claim; bounds the cost of a claim. */
const MAX_CHECKED_PER_CLAIM = 8;

type ClaimStatus =
  | {
      readonly kind: 'pending';
      readonly requestId: string;
      readonly entryId: string;
      readonly targetId: string;
      readonly agentBootId: string;
    }
  | {readonly kind: 'answered'; readonly answer: RecordedAnswer}
  | {readonly kind: 'not run'}
  | {readonly kind: 'unknown'}
  /** The response was dropped; only the fact that the key was used is kept. */
  | {readonly kind: 'spent'};

interface ClaimRecord {
  readonly digest: string;
  readonly attempt: number;
  readonly atMs: number;
  readonly status: ClaimStatus;
}

/** The claims as stored in snapshots. */
export interface ClaimsSnapshot {
  readonly clockMs: number;
  readonly customers: readonly (readonly [
    string,
    readonly (readonly [string, ClaimRecord])[],
  ])[];
}

/** Applies claims and settlements in log order. */
export class ClaimState {
  private customers = new Map<string, Map<string, ClaimRecord>>();
  /** Latest time in any claim; a clock that is equal on all instances. */
  private clockMs = 0;

  claim(command: ClaimCommand): ClaimResult {
    this.clockMs = Math.max(this.clockMs, command.atMs);
    const keys = this.keysOfCustomer(command.customer);
    this.prune(keys);
    const record = keys.get(command.key);
    if (record !== undefined) return this.claimKnownKey(keys, record, command);
    if (this.hasExpiredTime(command.key)) return {kind: 'expired'};
    if (keys.size >= MAX_KEYS_PER_CUSTOMER) return {kind: 'full'};
    return this.grant(keys, command, 1);
  }

  /** The result that a claim would get, without claiming the key. */
  lookup(customer: string, key: string, digest: string): LookupResult {
    const record = this.customers.get(customer)?.get(key);
    if (record === undefined)
      return this.hasExpiredTime(key) ? {kind: 'expired'} : {kind: 'none'};
    if (record.digest !== digest) return {kind: 'mismatch'};
    const {status, attempt} = record;
    switch (status.kind) {
      case 'pending': {
        const {entryId, targetId, agentBootId} = status;
        return {kind: 'pending', attempt, entryId, targetId, agentBootId};
      }
      case 'answered':
        return {kind: 'recorded', answer: status.answer};
      case 'not run':
        return {kind: 'none'};
      case 'unknown':
        return {kind: 'unknown'};
      case 'spent':
        return {kind: 'expired'};
      default:
        return unreachable(status);
    }
  }

  settle(command: SettleCommand): SettleResult {
    const keys = this.keysOfCustomer(command.customer);
    const record = keys.get(command.key);
    if (record === undefined || record.attempt !== command.attempt)
      return {kind: 'ignored'};
    if (!maySettle(record.status, command.settlement.kind))
      return {kind: 'ignored'};
    keys.set(command.key, {...record, status: command.settlement});
    return {kind: 'settled'};
  }

  snapshot(): ClaimsSnapshot {
    const customers = [...this.customers].map(
      ([name, keys]) => [name, [...keys]] as const
    );
    return {clockMs: this.clockMs, customers};
  }

  restore(snapshot: ClaimsSnapshot): void {
    this.clockMs = snapshot.clockMs;
    this.customers = new Map(
      snapshot.customers.map(([name, keys]) => [name, new Map(keys)])
    );
  }

  private claimKnownKey(
    keys: Map<string, ClaimRecord>,
    {status, attempt}: ClaimRecord,
    command: ClaimCommand
  ): ClaimResult {
    const {customer, key, digest, requestId} = command;
    const found = this.lookup(customer, key, digest);
    if (found.kind === 'none') return this.grant(keys, command, attempt + 1);
    // The reply to the proposer was lost and it repeats the claim.
    const isOwnClaim =
      status.kind === 'pending' && status.requestId === requestId;
    if (found.kind === 'pending' && isOwnClaim)
      return {kind: 'granted', attempt};
    return found;
  }

  private grant(
    keys: Map<string, ClaimRecord>,
    command: ClaimCommand,
    attempt: number
  ): ClaimResult {
    const {requestId, entryId, targetId, agentBootId, digest, atMs} = command;
    const status = {
      kind: 'pending',
      requestId,
      entryId,
      targetId,
      agentBootId,
    } as const;
    // Deleting the key first moves it to the end of the pruning order.
    keys.delete(command.key);
    keys.set(command.key, {digest, attempt, atMs, status});
    return {kind: 'granted', attempt};
  }

  private keysOfCustomer(customer: string): Map<string, ClaimRecord> {
    const known = this.customers.get(customer);
    if (known !== undefined) return known;
    const keys = new Map<string, ClaimRecord>();
    this.customers.set(customer, keys);
    return keys;
  }

  /**
   * Drops records older than the retention time. A key with a timestamp can be
   * removed, since a later use is refused because of that timestamp. Any other
   * key is kept without its response, or a repeated call would run again.
   */
  private prune(keys: Map<string, ClaimRecord>): void {
    let checked = 0;
    for (const [key, record] of keys) {
      if (checked++ >= MAX_CHECKED_PER_CLAIM) return;
      if (this.clockMs - record.atMs <= KEY_RETENTION_MS) return;
      keys.delete(key);
      if (this.hasExpiredTime(key)) continue;
      keys.set(key, {...record, atMs: this.clockMs, status: {kind: 'spent'}});
    }
  }

  private hasExpiredTime(key: string): boolean {
    const keyCreatedAtMs = keyTimeMs(key);
    if (
      keyCreatedAtMs === undefined ||
      keyCreatedAtMs > this.clockMs + MAX_CLOCK_SKEW_MS
    )
      return false;
    return this.clockMs - keyCreatedAtMs > KEY_RETENTION_MS;
  }
}

/** A late response is better than `unknown`; nothing else is overwritten. */
function maySettle(
  status: ClaimStatus,
  to: SettleCommand['settlement']['kind']
): boolean {
  if (status.kind === 'pending') return true;
  return status.kind === 'unknown' && to === 'answered';
}

/** The timestamp of a version 7 UUID in milliseconds; none for other keys. */
export function keyTimeMs(key: string): number | undefined {
  if (!validate(key) || uuidVersion(key) !== 7) return undefined;
  return Buffer.from(parse(key)).readUIntBE(0, 6);
}
