/**
 * Bytes of responses that are held until they are whole, so that another attempt may
 * follow. They are bounded for each response and for all of a node together; a response
 * beyond that is relayed while it arrives.
 */

/** Bounds, bytes. */
export interface HeldByteLimits {
  readonly perResponse: number;
  readonly total: number;
}

/** The held bytes of one node. */
export class HeldBytes {
  private held = 0;

  constructor(private readonly limits: HeldByteLimits) {}

  /** Bytes that are held now. */
  get total(): number {
    return this.held;
  }

  /** Starts the account of one response. */
  open(): HeldResponse {
    let bytes = 0;
    return {
      maxBytes: this.limits.perResponse,
      grow: newBytes => {
        const held = this.held + newBytes - bytes;
        if (held > this.limits.total) return false;
        this.held = held;
        bytes = newBytes;
        return true;
      },
      release: () => {
        this.held -= bytes;
        bytes = 0;
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
