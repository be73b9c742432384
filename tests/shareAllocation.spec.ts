import {allocateConcurrency} from '../src/policy/admission/concurrencyAllocation';

function sum(shares: ReadonlyMap<string, number>): number {
  return [...shares.values()].reduce((total, share) => total + share, 0);
}

describe('slots granted to nodes', () => {
  // One node receives three times the requests of the others. With equal parts it
  // refused callers while other nodes had free slots.
  it('should meet the demand of a node while others want less', () => {
    const shares = allocateConcurrency(96, [
      {node: 'a', wanted: 50, arrivals: 20},
      {node: 'b', wanted: 10, arrivals: 5},
      {node: 'c', wanted: 10, arrivals: 5},
    ]);
    expect(shares.get('a')).toBeGreaterThanOrEqual(50);
    expect(shares.get('b')).toBeGreaterThanOrEqual(10);
    expect(sum(shares)).toBe(96);
  });

  // The total demand exceeds the limit: no node gets more than an equal part of what
  // nodes with little demand leave.
  it('should never grant more slots than there are', () => {
    const shares = allocateConcurrency(30, [
      {node: 'a', wanted: 100, arrivals: 50},
      {node: 'b', wanted: 40, arrivals: 20},
      {node: 'c', wanted: 4, arrivals: 1},
    ]);
    expect(sum(shares)).toBe(30);
    expect(shares.get('c')).toBe(4);
    expect(shares.get('a')).toBe(13);
  });

  it('should leave an idle node one slot', () => {
    const shares = allocateConcurrency(2, [
      {node: 'a', wanted: 20, arrivals: 9},
      {node: 'b', wanted: 0, arrivals: 0},
    ]);
    expect(shares.get('b')).toBeGreaterThanOrEqual(1);
  });
});
