/**
 * When this node, as the leader, last had all that was committed. A leader that was
 * deposed replies to reports until it notices; a quorum no longer confirms it.
 */

/** Age after which the next report renews the proof. */
const RENEW_AFTER_MS = 100;

/** The last read barrier that a quorum confirmed. */
export class LeadershipProof {
  private provenAtMs = -Infinity;
  private renewedAtMs = -Infinity;

  constructor(private readonly nowMs: () => number) {}

  /** Time since the last proof, milliseconds. */
  get ageMs(): number {
    return this.nowMs() - this.provenAtMs;
  }

  /** Resolves once all that was committed before the call is applied here. */
  async renew(log: {readBarrier(): Promise<void>}): Promise<void> {
    // A commit during the barrier may be missing.
    const startedAtMs = this.nowMs();
    this.renewedAtMs = startedAtMs;
    await log.readBarrier();
    this.provenAtMs = Math.max(this.provenAtMs, startedAtMs);
  }

  /** Renews the proof when due, beside the reports, which don't wait for it. */
  renewIfDue(log: {readBarrier(): Promise<void>}): void {
    if (this.nowMs() - this.renewedAtMs < RENEW_AFTER_MS) return;
    this.renew(log).catch(() => undefined);
  }
}
