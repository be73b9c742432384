/**
 * Bytes of responses that are held until they are whole, so that another attempt may
 * follow. They are bounded for each response and for all of a node together, and take part
 * in its account of memory; a response beyond that is relayed while it arrives.
 */

import type {MemoryAccount} from '../inbound/memoryAccount';

/** Bounds, bytes. */
export interface HeldByteLimits {
  readonly perResponse: number;
  readonly total: number;
}

/** The held bytes of one node. */
export class HeldBytes {
  private held = 0;

  constructor(
    private readonly limits: HeldByteLimits,
    private readonly memory: MemoryAccount
  ) {}

  /** Bytes that are held now. */
  get total(): number {
    return this.held;
  }

  /** Starts the account of one response. */
  open(): HeldResponse {
    const holding = this.memory.open('callers');
    return {
      maxBytes: this.limits.perResponse,
      grow: newBytes => {
        const held = this.held + newBytes - holding.bytes;
        if (held > this.limits.total || !holding.grow(newBytes)) return false;
        this.held = held;
        return true;
      },
      release: () => {
        this.held -= holding.bytes;
        holding.release();
      },
    };
  }
}

/** The account of one response. */
export interface HeldResponse {
  /** Bound of this response, bytes. */
  readonly maxBytes: number;
  /** Counts what is to be held of it in all, bytes; false if that exceeds the bound of all. */
  grow(bytes: number): boolean;
  /** Ends the account; safe to call twice. */
  release(): void;
}
