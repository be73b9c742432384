/**
 * Proof that the applied rules are current, from a quorum of control instances.
 *
 * Each poll reply carries the highest revision in that instance's own log at
 * some time after the poll was sent. A change is accepted only once a majority
 * of voters has synced it to disk. So when none of a majority of voters holds
 * a newer revision than this process, nothing newer had been accepted when the
 * oldest of those polls was sent. A control instance that is silently
 * partitioned reports for itself only, which is never a majority.
 */

/** Result of the last poll of one control instance. */
export type InstanceEvidence =
  | {
      readonly kind: 'answered';
      /** When the poll was sent, `performance.now()` milliseconds. */
      readonly askedAtMs: number;
      readonly voter: boolean;
      /** Voters that the instance knows of. */
      readonly voterCount: number;
      readonly lastRevision: number;
    }
  /** The host refused the connection: no control process runs there. */
  | {readonly kind: 'not running'; readonly askedAtMs: number};

/** Whether the applied rules may be acted on. */
export type Freshness =
  | {readonly kind: 'proven'; readonly ageMs: number}
  /** A majority of control instances is down: no change can be accepted. */
  | {readonly kind: 'control down'}
  | {readonly kind: 'unproven'; readonly ageMs: number | undefined};

/** Collects poll results; reads no clock, all times are passed in. */
export class FreshnessProof {
  private readonly evidence = new Map<string, InstanceEvidence>();
  private provenAtMs: number | undefined;
  private highestSeenRevision = 0;
  private appliedRevision = 0;

  /**
   * `instanceCount` is the number of control instances in the settings and
   * `maxAgeMs` the age at which a proof expires.
   */
  constructor(
    private readonly instanceCount: number,
    private readonly maxAgeMs: number
  ) {}

  /** Records the result of a poll, unless a later poll is already recorded. */
  addEvidence(instanceId: string, evidence: InstanceEvidence): void {
    const known = this.evidence.get(instanceId);
    if (known !== undefined && known.askedAtMs > evidence.askedAtMs) return;
    this.evidence.set(instanceId, evidence);
    if (evidence.kind === 'answered')
      this.observeRevision(evidence.lastRevision);
    this.updateProof();
  }

  /** Records that this process has applied a revision. */
  setAppliedRevision(revision: number): void {
    this.appliedRevision = revision;
    this.updateProof();
  }

  /** Records that a revision exists, as reported by any peer. */
  observeRevision(revision: number): void {
    this.highestSeenRevision = Math.max(this.highestSeenRevision, revision);
  }

  get heldRevision(): number {
    return this.appliedRevision;
  }

  evaluate(nowMs: number): Freshness {
    const ageMs =
      this.provenAtMs === undefined ? undefined : nowMs - this.provenAtMs;
    if (this.appliedRevision === 0) return {kind: 'unproven', ageMs};
    if (ageMs !== undefined && ageMs <= this.maxAgeMs)
      return {kind: 'proven', ageMs};
    if (this.isControlDown(nowMs)) return {kind: 'control down'};
    return {kind: 'unproven', ageMs};
  }

  /**
   * Counts at least as many voters as the instances report. With the settings
   * alone, a list that names too few instances would turn a minority of the
   * voters into a majority, and a process partitioned with that minority would
   * consider old rules proven.
   */
  private majoritySize(): number {
    let count = this.instanceCount;
    for (const one of this.evidence.values())
      if (one.kind === 'answered') count = Math.max(count, one.voterCount);
    return Math.floor(count / 2) + 1;
  }

  private updateProof(): void {
    const times = [...this.evidence.values()]
      .filter(
        one =>
          one.kind === 'answered' &&
          one.voter &&
          one.lastRevision <= this.appliedRevision
      )
      .map(one => one.askedAtMs)
      .sort((a, b) => b - a);
    const majorityAskedAtMs = times[this.majoritySize() - 1];
    if (majorityAskedAtMs === undefined) return;
    this.provenAtMs = Math.max(this.provenAtMs ?? -Infinity, majorityAskedAtMs);
  }

  /**
   * Serving without a proof is safe only while no change can be accepted, that
   * is when a majority of hosts refuse connections to control. A timeout is no
   * evidence, since the majority may be alive behind a network partition. Once
   * any peer has reported a newer revision, the applied one is known to be old.
   */
  private isControlDown(nowMs: number): boolean {
    if (
      this.provenAtMs === undefined ||
      this.highestSeenRevision > this.appliedRevision
    )
      return false;
    const down = [...this.evidence.values()].filter(
      one =>
        one.kind === 'not running' && nowMs - one.askedAtMs <= this.maxAgeMs
    );
    return down.length >= this.majoritySize();
  }
}
