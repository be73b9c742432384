/** Records the passes of a group and checks their map versions. */

/** Passes and decisions so far; throws at the first violation. */
export class MapHistory {
  private readonly versionOfStep = new Map<number, number>();
  private decidedVersion = 0;

  /** All ranks must run a pass with the same map version, and none may fall. */
  recordPass(step: number, version: number): void {
    const seen = this.versionOfStep.get(step);
    if (seen === undefined) this.versionOfStep.set(step, version);
    else if (seen !== version)
      throw new Error(
        `pass ${step} ran with map versions ${seen} and ${version}`
      );
    const earlier = this.versionOfStep.get(step - 1) ?? 0;
    if (version < earlier)
      throw new Error(
        `pass ${step} went back from map version ${earlier} to ${version}`
      );
  }

  /** Records the highest decided map version after each command. */
  recordDecided(version: number): void {
    if (version < this.decidedVersion)
      throw new Error(`the decided map version fell to ${version}`);
    this.decidedVersion = version;
  }
}
