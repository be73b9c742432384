import {v7 as uuidv7} from 'uuid';
import {
  ClaimState,
  KEY_RETENTION_MS,
  keyTimeMs,
} from '../src/control/state/claimState';
import type {ClaimCommand, SettleCommand} from '../src/control/state/command';

const START_MS = Date.UTC(2026, 2, 1);
const ANSWER = {status: 201, headers: [], bodyBase64: 'e30='};

const claim = (
  key: string,
  change: Partial<ClaimCommand> = {}
): ClaimCommand => ({
  kind: 'claim',
  customer: 'harbour',
  key,
  digest: 'body',
  entryId: 'entry-1',
  requestId: 'request-1',
  targetId: 'ledger-1',
  agentBootId: 'boot-1',
  atMs: START_MS,
  ...change,
});

const settle = (
  key: string,
  settlement: SettleCommand['settlement'],
  attempt = 1
): SettleCommand => ({
  kind: 'settle',
  customer: 'harbour',
  key,
  attempt,
  settlement,
});

describe('claims of keys', () => {
  let claims: ClaimState;

  beforeEach(() => {
    claims = new ClaimState();
  });

  it('should grant a key once and give a resend the recorded answer', () => {
    expect(claims.claim(claim('k')).kind).toBe('granted');
    expect(claims.claim(claim('k', {requestId: 'request-2'})).kind).toBe(
      'pending'
    );
    claims.settle(settle('k', {kind: 'answered', answer: ANSWER}));
    const resent = claims.claim(claim('k', {requestId: 'request-3'}));
    expect(resent).toEqual({kind: 'recorded', answer: ANSWER});
  });

  it('should refuse another body under the same key', () => {
    claims.claim(claim('k'));
    expect(claims.claim(claim('k', {digest: 'other'})).kind).toBe('mismatch');
  });

  it('should grant the next attempt only after "not run"', () => {
    claims.claim(claim('k'));
    claims.settle(settle('k', {kind: 'not run'}));
    expect(claims.claim(claim('k', {requestId: 'request-2'}))).toEqual({
      kind: 'granted',
      attempt: 2,
    });
  });

  // A second box gets the socket: the answer of attempt 1 is recorded, then a
  // late "not run" of a resend that had asked earlier would free the key.
  it('should keep what was settled first', () => {
    claims.claim(claim('k'));
    claims.settle(settle('k', {kind: 'answered', answer: ANSWER}));
    expect(claims.settle(settle('k', {kind: 'not run'})).kind).toBe('ignored');
    expect(claims.claim(claim('k', {requestId: 'request-2'})).kind).toBe(
      'recorded'
    );
  });

  it('should take an answer that is found after "unknown"', () => {
    claims.claim(claim('k'));
    claims.settle(settle('k', {kind: 'unknown'}));
    expect(claims.claim(claim('k', {requestId: 'request-2'})).kind).toBe(
      'unknown'
    );
    claims.settle(settle('k', {kind: 'answered', answer: ANSWER}));
    expect(claims.claim(claim('k', {requestId: 'request-3'})).kind).toBe(
      'recorded'
    );
  });

  // The record is bounded: a day later it is pruned, and a caller that resends
  // a key of yesterday must not get a second run for it.
  it.each([
    ['with a time of its own', uuidv7({msecs: START_MS})],
    ['without one', 'box 7 socket 12'],
  ])('should never run an old key again, %s', (_, key) => {
    claims.claim(claim(key));
    claims.settle(settle(key, {kind: 'answered', answer: ANSWER}));
    const later = START_MS + KEY_RETENTION_MS + 1;
    claims.claim(claim('other', {atMs: later, requestId: 'request-2'}));
    const resent = claims.claim(
      claim(key, {atMs: later, requestId: 'request-3'})
    );
    expect(resent.kind).toBe('expired');
  });

  it('should be the same after a snapshot', () => {
    claims.claim(claim('k'));
    const restored = new ClaimState();
    restored.restore(JSON.parse(JSON.stringify(claims.snapshot())));
    expect(restored.claim(claim('k', {requestId: 'request-2'})).kind).toBe(
      'pending'
    );
  });

  it('should read the time of a version 7 UUID only', () => {
    expect(keyTimeMs(uuidv7({msecs: START_MS}))).toBe(START_MS);
    expect(keyTimeMs('b7e2f6a0-6c1e-4d0e-9b1a-3f2d1c0b9a88')).toBeUndefined();
  });
});
