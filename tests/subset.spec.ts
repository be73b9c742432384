import {
  SubsetCandidate,
  chooseSubset,
  entrySeed,
  targetKey,
} from '../src/policy/subset';

const SIZE = 8;
const ENTRIES = Array.from({length: 40}, (_, i) => entrySeed(`entry-${i}`));

function target(
  i: number,
  zones: number,
  change: Partial<SubsetCandidate> = {}
): SubsetCandidate {
  const targetId = `planner-${i}`;
  const availabilityZone = `zone-${i % zones}`;
  const key = targetKey(targetId);
  return {targetId, availabilityZone, usable: true, key, ...change};
}

function targets(count: number, zones: number): readonly SubsetCandidate[] {
  return Array.from({length: count}, (_, i) => target(i, zones));
}

function idsOf(chosen: readonly SubsetCandidate[]): readonly string[] {
  return chosen.map(({targetId}) => targetId).sort();
}

describe('subset of a pool', () => {
  it('should replace only the target that leaves', () => {
    const all = targets(100, 1);
    const gone = all[17]!;
    for (const entry of ENTRIES) {
      const before = idsOf(chooseSubset(entry, all, SIZE));
      const after = idsOf(
        chooseSubset(
          entry,
          all.filter(one => one !== gone),
          SIZE
        )
      );
      const isHeld = before.includes(gone.targetId);
      const kept = before.filter(id => after.includes(id));
      expect(kept).toHaveLength(isHeld ? SIZE - 1 : SIZE);
      expect(after).toHaveLength(SIZE);
    }
  });

  it('should differ between entries, so that all targets are used', () => {
    const followed = ENTRIES.flatMap(entry =>
      idsOf(chooseSubset(entry, targets(100, 1), SIZE))
    );
    expect(new Set(followed).size).toBeGreaterThan(90);
  });

  it('should include a target of every zone', () => {
    // If all targets of an entry were in one zone, the loss of that zone would make
    // the entry refuse requests although targets elsewhere are idle.
    for (const entry of ENTRIES) {
      const chosen = chooseSubset(entry, targets(170, 17), SIZE);
      const zones = new Set(chosen.map(one => one.availabilityZone));
      expect(zones.size).toBe(17);
      expect(chosen.length).toBeLessThan(SIZE + 17);
    }
  });

  it.each([
    ['that accept no work', 90, SIZE],
    ['of which too few accept work', 3, SIZE],
  ])('should pass over targets %s', (_, usableCount, size) => {
    const all = Array.from({length: 100}, (_unused, i) =>
      target(i, 1, {usable: i < usableCount})
    );
    for (const entry of ENTRIES) {
      const chosen = chooseSubset(entry, all, size);
      expect(chosen).toHaveLength(size);
      expect(chosen.filter(one => one.usable)).toHaveLength(
        Math.min(usableCount, size)
      );
    }
  });
});
