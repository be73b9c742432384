/**
 * Proof that the held rules are current, from a quorum of control instances.
 *
 * Each answer tells the highest revision in that instance's own log at some
 * time after the question was sent. A change is accepted only when a majority
 * of voters has it synced, so when a majority of voters each hold nothing
 * newer than we do, nothing newer had been accepted when the oldest of those
 * questions was sent. A control instance that is silently cut off can speak
 * for itself only, which is never a majority.
 */

/** What one control instance last showed. */
export type InstanceEvidence =
  | {
      readonly kind: 'answered';
      /** When the question was sent, `performance.now()` milliseconds. */
      readonly askedAtMs: number;
      readonly voter: boolean;
      /** Voters that the instance knows of. */
      readonly voterCount: number;
      readonly lastRevision: number;
    }
  /** Its host refused the connection: the process is not running. */
  | {readonly kind: 'not running'; readonly askedAtMs: number};

/** Whether rules may be acted on. */
export type Freshness =
  | {readonly kind: 'proven'; readonly ageMs: number}
  /** A majority of control is down: nothing can be accepted meanwhile. */
  | {readonly kind: 'control down'}
  | {readonly kind: 'unproven'; readonly ageMs: number | undefined};

/** Collects evidence; pure but for the times passed in. */
export class FreshnessProof {
  private readonly evidence = new Map<string, InstanceEvidence>();
  private provenAtMs: number | undefined;
  private highestSeen = 0;
  private held = 0;

  /**
   * `instanceCount` is the number of control instances in the settings and
   * `boundMs` the age up to which a proof may be acted on.
   */
  constructor(
    private readonly instanceCount: number,
    private readonly boundMs: number
  ) {}

  /** Takes in what an instance showed; older evidence never replaces newer. */
  add(instanceId: string, evidence: InstanceEvidence): void {
    const known = this.evidence.get(instanceId);
    if (known !== undefined && known.askedAtMs > evidence.askedAtMs) return;
    this.evidence.set(instanceId, evidence);
    if (evidence.kind === 'answered') this.sawRevision(evidence.lastRevision);
    this.prove();
  }

  /** Rules of this revision are in force here. */
  hold(revision: number): void {
    this.held = revision;
    this.prove();
  }

  /** Any peer showed that a revision exists. */
  sawRevision(revision: number): void {
    this.highestSeen = Math.max(this.highestSeen, revision);
  }

  get heldRevision(): number {
    return this.held;
  }

  judge(nowMs: number): Freshness {
    const ageMs =
      this.provenAtMs === undefined ? undefined : nowMs - this.provenAtMs;
    if (this.held === 0) return {kind: 'unproven', ageMs};
    if (ageMs !== undefined && ageMs <= this.boundMs)
      return {kind: 'proven', ageMs};
    if (this.isControlDown(nowMs)) return {kind: 'control down'};
    return {kind: 'unproven', ageMs};
  }

  /**
   * Settings that name too few instances must not make a minority of the
   * voters a majority: cut off with that minority, the process would take old
   * rules for proven.
   */
  private majority(): number {
    let count = this.instanceCount;
    for (const one of this.evidence.values())
      if (one.kind === 'answered') count = Math.max(count, one.voterCount);
    return Math.floor(count / 2) + 1;
  }

  private prove(): void {
    const times = [...this.evidence.values()]
      .filter(
        one =>
          one.kind === 'answered' && one.voter && one.lastRevision <= this.held
      )
      .map(one => one.askedAtMs)
      .sort((a, b) => b - a);
    const oldestNeeded = times[this.majority() - 1];
    if (oldestNeeded === undefined) return;
    this.provenAtMs = Math.max(this.provenAtMs ?? -Infinity, oldestNeeded);
  }

  /**
   * Serving on without a proof is safe only while nothing can be accepted:
   * a majority of hosts said that no control process runs there. Silence says
   * nothing, since the majority may be alive behind a cut. Once any peer has
   * shown a newer revision, ours is known to be old.
   */
  private isControlDown(nowMs: number): boolean {
    if (this.provenAtMs === undefined || this.highestSeen > this.held)
      return false;
    const down = [...this.evidence.values()].filter(
      one => one.kind === 'not running' && nowMs - one.askedAtMs <= this.boundMs
    );
    return down.length >= this.majority();
  }
}
