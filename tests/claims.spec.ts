import {v7 as uuidv7} from 'uuid';
import {
  ClaimState,
  KEY_RETENTION_MS,
  keyTimeMs,
} from '../src/control/state/claimState';
import type {ClaimCommand, SettleCommand} from '../src/control/state/command';

const START_MS = Date.UTC(2026, 2, 1);
const RESPONSE = {status: 201, headers: [], bodyBase64: 'e30='};

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

describe('claims of idempotency keys', () => {
  let claims: ClaimState;

  beforeEach(() => {
    claims = new ClaimState();
  });

  it('should grant a key once and return the recorded response to a resend', () => {
    expect(claims.claim(claim('k')).kind).toBe('granted');
    expect(claims.claim(claim('k', {requestId: 'request-2'})).kind).toBe(
      'pending'
    );
    claims.settle(settle('k', {kind: 'answered', answer: RESPONSE}));
    const resent = claims.claim(claim('k', {requestId: 'request-3'}));
    expect(resent).toEqual({kind: 'recorded', answer: RESPONSE});
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

  // The call would run twice: the response of attempt 1 is recorded, and then a
  // resend that queried the agent earlier settles the key late as "not run",
  // which would free it.
  it('should keep what was settled first', () => {
    claims.claim(claim('k'));
    claims.settle(settle('k', {kind: 'answered', answer: RESPONSE}));
    expect(claims.settle(settle('k', {kind: 'not run'})).kind).toBe('ignored');
    expect(claims.claim(claim('k', {requestId: 'request-2'})).kind).toBe(
      'recorded'
    );
  });

  it('should record a response that is found after "unknown"', () => {
    claims.claim(claim('k'));
    claims.settle(settle('k', {kind: 'unknown'}));
    expect(claims.claim(claim('k', {requestId: 'request-2'})).kind).toBe(
      'unknown'
    );
    claims.settle(settle('k', {kind: 'answered', answer: RESPONSE}));
    expect(claims.claim(claim('k', {requestId: 'request-3'})).kind).toBe(
      'recorded'
    );
  });

  // Records are bounded and pruned after a day. A caller that resends a key
  // from the day before must not cause a second run.
  it.each([
    ['with a timestamp', uuidv7({msecs: START_MS})],
    ['without a timestamp', 'box 7 socket 12'],
  ])('should never run an old key again, %s', (_, key) => {
    claims.claim(claim(key));
    claims.settle(settle(key, {kind: 'answered', answer: RESPONSE}));
    const later = START_MS + KEY_RETENTION_MS + 1;
    claims.claim(claim('other', {atMs: later, requestId: 'request-2'}));
    const resent = claims.claim(
      claim(key, {atMs: later, requestId: 'request-3'})
    );
    expect(resent.kind).toBe('expired');
  });

  it('should restore claims from a snapshot', () => {
    claims.claim(claim('k'));
    const restored = new ClaimState();
    restored.restore(JSON.parse(JSON.stringify(claims.snapshot())));
    expect(restored.claim(claim('k', {requestId: 'request-2'})).kind).toBe(
      'pending'
    );
  });

  it('should read the timestamp of version 7 UUIDs only', () => {
    expect(keyTimeMs(uuidv7({msecs: START_MS}))).toBe(START_MS);
    expect(keyTimeMs('b7e2f6a0-6c1e-4d0e-9b1a-3f2d1c0b9a88')).toBeUndefined();
  });
});
