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
      add: count => {
        const {perResponse, total} = this.limits;
        if (bytes + count > perResponse || this.held + count > total)
          return false;
        bytes += count;
        this.held += count;
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
  /** Counts bytes that are to be held; false if they exceed a bound. */
  add(bytes: number): boolean;
  /** Ends the account; safe to call twice. */
  release(): void;
}
