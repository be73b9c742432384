/** What the ranks of a group ran, and the checks on it. */

/** Steps and decisions so far; throws at the first that may not be. */
export class MapHistory {
  private readonly versionOfStep = new Map<number, number>();
  private decidedVersion = 0;

  /** A rank ran a step with a map: all must have run it with the same one. */
  ran(step: number, version: number): void {
    const seen = this.versionOfStep.get(step);
    if (seen === undefined) this.versionOfStep.set(step, version);
    else if (seen !== version)
      throw new Error(`step ${step} ran with maps ${seen} and ${version}`);
    const earlier = this.versionOfStep.get(step - 1) ?? 0;
    if (version < earlier)
      throw new Error(`step ${step} went back from ${earlier} to ${version}`);
  }

  /** The highest decided version, after each command. */
  decided(version: number): void {
    if (version < this.decidedVersion)
      throw new Error(`decided version fell to ${version}`);
    this.decidedVersion = version;
  }
}
