import {MemoryAccount} from '../src/inbound/memoryAccount';
import type {MemoryHolding, MemoryUse} from '../src/inbound/memoryAccount';

const KIB = 1 << 10;
const MIB = 1 << 20;
/** Callers may hold 12 MiB of it, and 9 MiB in large bodies. */
const LIMIT_BYTES = 16 * MIB;

let account: MemoryAccount;
let evicted: MemoryHolding[];
beforeEach(() => {
  account = new MemoryAccount(LIMIT_BYTES);
  evicted = [];
});

/** A body of which `bytes` were read so far. */
function reading(bytes: number, use: MemoryUse = 'callers'): MemoryHolding {
  const holding = account.open(use);
  holding.onReading(() => evicted.push(holding));
  expect(holding.grow(bytes)).toBe(true);
  return holding;
}

/** A body that was read. */
function whole(bytes: number, use: MemoryUse = 'callers'): MemoryHolding {
  const holding = reading(bytes, use);
  holding.onRead();
  return holding;
}

describe('the memory for requests', () => {
  it('should be given back once', () => {
    const holding = whole(MIB);
    expect(account.heldBytes).toBe(MIB);
    holding.release();
    holding.release();
    expect(account.heldBytes).toBe(0);
  });

  // A crowd that stops short took all that there was, for a time limit.
  it('should be taken from the largest incomplete body', () => {
    reading(2 * MIB);
    const largest = reading(4 * MIB);
    reading(3 * MIB);
    whole(MIB);
    expect(evicted).toEqual([largest]);
    expect(account.heldBytes).toBe(6 * MIB);
  });

  it('should be taken from the oldest of equal bodies', () => {
    const bodies = Array.from({length: 9}, () => reading(MIB));
    whole(MIB);
    expect(evicted).toEqual([bodies[0]]);
  });

  it('should not be taken from smaller bodies', () => {
    for (let i = 0; i < 9; i++) reading(MIB);
    const growing = account.open('callers');
    expect(growing.grow(2 * MIB)).toBe(false);
    expect(evicted).toEqual([]);
  });

  it('should not be taken from whole bodies', () => {
    for (let i = 0; i < 9; i++) whole(MIB);
    expect(account.open('callers').grow(MIB)).toBe(false);
    expect(account.heldBytes).toBe(9 * MIB);
  });

  it('should have room for small bodies beside large ones', () => {
    for (let i = 0; i < 9; i++) whole(MIB);
    expect(account.open('callers').grow(65 * KIB)).toBe(false);
    for (let i = 0; i < 48; i++) whole(64 * KIB);
    expect(account.heldBytes).toBe(12 * MIB);
  });

  // Bodies of callers kept the nodes from replicating the log.
  it('should have room for operators and nodes beside callers', () => {
    for (let i = 0; i < 9; i++) whole(MIB);
    for (let i = 0; i < 48; i++) whole(64 * KIB);
    expect(account.open('callers').grow(KIB)).toBe(false);
    expect(account.open('operators').grow(64 * KIB)).toBe(true);
    expect(account.open('nodes').grow(3 * MIB)).toBe(true);
  });

  it('should count an evicted body no more', () => {
    const first = reading(5 * MIB);
    reading(5 * MIB);
    expect(evicted).toEqual([first]);
    first.release();
    expect(account.heldBytes).toBe(5 * MIB);
  });
});
