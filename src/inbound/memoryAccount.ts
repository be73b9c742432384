/**
 * One account of the memory that the requests of a process hold: bodies that are read,
 * wait for a slot or are kept for another attempt, and responses that are held.
 */

import {unreachable} from '../core/errors';
import type {BodyRoom} from '../core/readBody';

/** On whose behalf memory is held. */
export type MemoryUse = 'callers' | 'operators' | 'nodes';

/** Bytes that are never refused for the sake of larger holdings. */
const SMALL_BYTES = 64 << 10;
/** Part of the memory for a use that large holdings may take. */
const LARGE_RATIO = 0.75;

/** The account of one process. */
export class MemoryAccount {
  private held = 0;
  /** Bodies that are being read, the oldest first. */
  private readonly incomplete = new Set<MemoryHolding>();

  constructor(
    private readonly limitBytes: number,
    private readonly onEvicted: (use: MemoryUse) => void = () => undefined
  ) {}

  /** Bytes that are held now. */
  get heldBytes(): number {
    return this.held;
  }

  open(use: MemoryUse): MemoryHolding {
    return new MemoryHolding(use, this.incomplete, (holding, bytes) =>
      this.resize(holding, bytes)
    );
  }

  private resize(holding: MemoryHolding, bytes: number): boolean {
    const more = bytes - holding.bytes;
    if (more > 0 && !this.makeRoom(holding, bytes)) return false;
    this.held += more;
    return true;
  }

  /** Evicts incomplete bodies, the largest first, unless this one would be the largest. */
  private makeRoom(holding: MemoryHolding, bytes: number): boolean {
    const most = this.limitBytes * ratioOf(holding.use, bytes);
    while (this.held + bytes - holding.bytes > most) {
      const largest = this.largestIncomplete(holding);
      if (largest === undefined || largest.bytes < bytes) return false;
      largest.evict();
      this.onEvicted(largest.use);
    }
    return true;
  }

  private largestIncomplete(except: MemoryHolding): MemoryHolding | undefined {
    let largest: MemoryHolding | undefined;
    for (const holding of this.incomplete) {
      if (holding === except) continue;
      if (largest === undefined || holding.bytes > largest.bytes)
        largest = holding;
    }
    return largest;
  }
}

/** Callers leave room for operators, and both for the other nodes. */
function ratioOf(use: MemoryUse, bytes: number): number {
  const sizeRatio = bytes > SMALL_BYTES ? LARGE_RATIO : 1;
  switch (use) {
    case 'callers':
      return 0.75 * sizeRatio;
    case 'operators':
      return 0.875 * sizeRatio;
    case 'nodes':
      return 1;
    default:
      return unreachable(use);
  }
}

type Resize = (holding: MemoryHolding, bytes: number) => boolean;

/** What one request holds. */
export class MemoryHolding implements BodyRoom {
  private size = 0;
  private endReading: (() => void) | undefined;

  constructor(
    readonly use: MemoryUse,
    private readonly incomplete: Set<MemoryHolding>,
    private readonly resize: Resize
  ) {}

  get bytes(): number {
    return this.size;
  }

  /** Holds this many bytes in all; false if there is no memory for them. */
  grow(bytes: number): boolean {
    if (!this.resize(this, bytes)) return false;
    this.size = bytes;
    return true;
  }

  onReading(end: () => void): void {
    this.endReading = end;
    this.incomplete.add(this);
  }

  onRead(): void {
    this.incomplete.delete(this);
    this.endReading = undefined;
  }

  /** Ends the reading of an incomplete body. */
  evict(): void {
    this.endReading?.();
    this.release();
  }

  /** Gives all back; safe to call twice. */
  release(): void {
    this.onRead();
    this.grow(0);
  }
}
