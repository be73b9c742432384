import {FreshnessProof, InstanceEvidence} from '../src/sync/freshness';

const MAX_AGE_MS = 2_500;

function answered(
  askedAtMs: number,
  lastRevision = 1,
  change: {readonly voter?: boolean; readonly voterCount?: number} = {}
): InstanceEvidence {
  const {voter = true, voterCount = 3} = change;
  return {kind: 'answered', askedAtMs, voter, voterCount, lastRevision};
}

function notRunning(askedAtMs: number): InstanceEvidence {
  return {kind: 'not running', askedAtMs};
}

function proofOf(instanceCount = 3): FreshnessProof {
  const proof = new FreshnessProof(instanceCount, MAX_AGE_MS);
  proof.setAppliedRevision(1);
  return proof;
}

describe('proof of freshness', () => {
  // The settings name one instance only. It is partitioned from the two others,
  // which accept a change, but it reports that there are three voters.
  it('should not count one of three voters as a majority', () => {
    const proof = proofOf(1);
    proof.addEvidence('a', answered(100));
    expect(proof.evaluate(100).kind).toBe('unproven');
  });

  it('should expire at its maximum age, counted from the older poll', () => {
    const proof = proofOf();
    proof.addEvidence('a', answered(1_000));
    proof.addEvidence('b', answered(1_400));
    expect(proof.evaluate(1_000 + MAX_AGE_MS)).toEqual({
      kind: 'proven',
      ageMs: MAX_AGE_MS,
    });
    expect(proof.evaluate(1_001 + MAX_AGE_MS).kind).toBe('unproven');
  });

  // Two instances are silent behind a network partition and one host refuses
  // connections. The two may be accepting changes, so control is not down.
  it('should not treat silence as control being down', () => {
    const proof = proofOf();
    proof.addEvidence('a', answered(0));
    proof.addEvidence('b', answered(0));
    proof.addEvidence('c', notRunning(5_000));
    expect(proof.evaluate(5_000).kind).toBe('unproven');
    proof.addEvidence('b', notRunning(5_000));
    expect(proof.evaluate(5_000).kind).toBe('control down');
  });

  // Control went down after it had accepted rules that this process never
  // received. Another process has reported their revision.
  it('should not keep serving by rules that are known to be replaced', () => {
    const proof = proofOf();
    proof.addEvidence('a', answered(0));
    proof.addEvidence('b', answered(0));
    proof.observeRevision(2);
    for (const id of ['a', 'b', 'c']) proof.addEvidence(id, notRunning(5_000));
    expect(proof.evaluate(5_000).kind).toBe('unproven');
  });

  it('should not let late evidence replace what was asked later', () => {
    const proof = proofOf();
    proof.addEvidence('a', answered(2_000, 2));
    proof.addEvidence('a', answered(1_000, 1));
    proof.addEvidence('b', answered(2_000, 1));
    expect(proof.evaluate(2_000).kind).toBe('unproven');
  });
});
