import {allocateShares} from '../src/policy/shareAllocation';

function sum(shares: ReadonlyMap<string, number>): number {
  return [...shares.values()].reduce((total, share) => total + share, 0);
}

describe('places lent to nodes', () => {
  // Callers reach one node with three times the requests of the others. With
  // equal parts it turned callers away while places stood free elsewhere.
  it('should give a node what it wants while others want less', () => {
    const shares = allocateShares(96, [
      {node: 'a', wanted: 50, arrivals: 20},
      {node: 'b', wanted: 10, arrivals: 5},
      {node: 'c', wanted: 10, arrivals: 5},
    ]);
    expect(shares.get('a')).toBeGreaterThanOrEqual(50);
    expect(shares.get('b')).toBeGreaterThanOrEqual(10);
    expect(sum(shares)).toBe(96);
  });

  // All want more than there is: nobody gets more than an equal part of what
  // those that want little leave.
  it('should never lend more places than there are', () => {
    const shares = allocateShares(30, [
      {node: 'a', wanted: 100, arrivals: 50},
      {node: 'b', wanted: 40, arrivals: 20},
      {node: 'c', wanted: 4, arrivals: 1},
    ]);
    expect(sum(shares)).toBe(30);
    expect(shares.get('c')).toBe(4);
    expect(shares.get('a')).toBe(13);
  });

  it('should leave an idle node one place to begin with', () => {
    const shares = allocateShares(2, [
      {node: 'a', wanted: 20, arrivals: 9},
      {node: 'b', wanted: 0, arrivals: 0},
    ]);
    expect(shares.get('b')).toBeGreaterThanOrEqual(1);
  });
});
