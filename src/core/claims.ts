/** Outcomes of calls that are not idempotent, as every process sees them. */

/** A recorded answer of a non-idempotent call. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly bodyBase64: string;
}

/** How a claim ended. */
export type Settlement =
  | {readonly kind: 'answered'; readonly answer: RecordedAnswer}
  | {readonly kind: 'not run'}
  | {readonly kind: 'unknown'};

/** What is on record of a key, asked without claiming it. */
export type LookupResult =
  | Exclude<ClaimResult, {readonly kind: 'granted' | 'full'}>
  /** Nothing that bars a claim. */
  | {readonly kind: 'none'};

/** Result of a claim. */
export type ClaimResult =
  | {readonly kind: 'granted'; readonly attempt: number}
  | {readonly kind: 'recorded'; readonly answer: RecordedAnswer}
  | {
      readonly kind: 'pending';
      readonly attempt: number;
      readonly entryId: string;
      readonly targetId: string;
      readonly agentBootId: string;
    }
  /** It may have run; its answer was lost. */
  | {readonly kind: 'unknown'}
  /** The key was used with another request. */
  | {readonly kind: 'mismatch'}
  | {readonly kind: 'expired'}
  | {readonly kind: 'full'};
