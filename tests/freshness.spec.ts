import {FreshnessProof, InstanceEvidence} from '../src/sync/freshness';

const BOUND_MS = 2_500;

function answered(
  askedAtMs: number,
  lastRevision = 1,
  change: {readonly voter?: boolean; readonly voterCount?: number} = {}
): InstanceEvidence {
  const {voter = true, voterCount = 3} = change;
  return {kind: 'answered', askedAtMs, voter, voterCount, lastRevision};
}

function refused(askedAtMs: number): InstanceEvidence {
  return {kind: 'not running', askedAtMs};
}

function proofOf(instanceCount = 3): FreshnessProof {
  const proof = new FreshnessProof(instanceCount, BOUND_MS);
  proof.hold(1);
  return proof;
}

describe('proof of freshness', () => {
  // Settings name one instance only, and that one is cut off from the two
  // others, which accept a change. It says that it is one of three voters.
  it('should not take one of three voters for a majority', () => {
    const proof = proofOf(1);
    proof.add('a', answered(100));
    expect(proof.judge(100).kind).toBe('unproven');
  });

  it('should run out at the bound, counted from the older question', () => {
    const proof = proofOf();
    proof.add('a', answered(1_000));
    proof.add('b', answered(1_400));
    expect(proof.judge(1_000 + BOUND_MS)).toEqual({
      kind: 'proven',
      ageMs: BOUND_MS,
    });
    expect(proof.judge(1_001 + BOUND_MS).kind).toBe('unproven');
  });

  // Two instances are silent behind a cut and one refuses connections: the
  // two may be accepting changes, so this is no outage of all control.
  it('should not take silence for control being down', () => {
    const proof = proofOf();
    proof.add('a', answered(0));
    proof.add('b', answered(0));
    proof.add('c', refused(5_000));
    expect(proof.judge(5_000).kind).toBe('unproven');
    proof.add('b', refused(5_000));
    expect(proof.judge(5_000).kind).toBe('control down');
  });

  // Control is down, and rules that this process never got were accepted
  // before: another process has shown their revision.
  it('should not serve on by rules known to be replaced', () => {
    const proof = proofOf();
    proof.add('a', answered(0));
    proof.add('b', answered(0));
    proof.sawRevision(2);
    for (const id of ['a', 'b', 'c']) proof.add(id, refused(5_000));
    expect(proof.judge(5_000).kind).toBe('unproven');
  });

  it('should not let late evidence replace what was asked later', () => {
    const proof = proofOf();
    proof.add('a', answered(2_000, 2));
    proof.add('a', answered(1_000, 1));
    proof.add('b', answered(2_000, 1));
    expect(proof.judge(2_000).kind).toBe('unproven');
  });
});
