/** Messages about claims of idempotency keys, shared by entries and control. */

/** The recorded response of a non-idempotent call. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly bodyBase64: string;
  /** Present when nothing but the end of the connection ended the body. */
  readonly endUnmarked?: true;
}

/** How a claim ended. */
export type Settlement =
  | {readonly kind: 'answered'; readonly answer: RecordedAnswer}
  | {readonly kind: 'not run'}
  | {readonly kind: 'unknown'};

/** Result of looking up a key without claiming it. */
export type LookupResult =
  | Exclude<ClaimResult, {readonly kind: 'granted' | 'full'}>
  /** A claim of the key would be granted. */
  | {readonly kind: 'none'};

/** Result of a claim. */
export type ClaimResult =
  | {readonly kind: 'granted'; readonly attempt: number}
  | {readonly kind: 'recorded'; readonly answer: RecordedAnswer}
  /** Another request holds the claim and has not settled it. */
  | {
      readonly kind: 'pending';
      readonly attempt: number;
      readonly entryId: string;
      readonly targetId: string;
      readonly agentBootId: string;
    }
  /** The call may have run; its response was lost. */
  | {readonly kind: 'unknown'}
  /** The key was used with another request. */
  | {readonly kind: 'mismatch'}
  /** The key is older than the retention, so its record may be gone. */
  | {readonly kind: 'expired'}
  /** No more keys can be recorded for this customer. */
  | {readonly kind: 'full'};
