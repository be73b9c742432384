/** Whether a request may have run, by what its attempts have proven. */

/** One attempt, which may have run until the contrary is proven. */
export interface RecordedAttempt {
  /** Notes the proof: nothing was sent, or the target stated that it did not run. */
  provenNotRun(): void;
}

/**
 * The attempts of one request. An attempt counts as run from its start, so that one
 * whose end is never reported can't become a promise that nothing has run.
 */
export class ExecutionRecord {
  private readonly unproven = new Set<RecordedAttempt>();

  /** Whether any attempt lacks the proof that it did not run. */
  get mayHaveRun(): boolean {
    return this.unproven.size > 0;
  }

  /** To be called before an attempt may send anything. */
  begin(): RecordedAttempt {
    const attempt = {provenNotRun: () => void this.unproven.delete(attempt)};
    this.unproven.add(attempt);
    return attempt;
  }
}
