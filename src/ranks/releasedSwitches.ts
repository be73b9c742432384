/**
 * Switches whose hold was released by `go`. Every rank was armed by then, so
 * their maps become active whatever orders are late; only the time is unknown.
 */

import type {RankReport} from '../ports/rankPort';
import type {ReleasedVersions} from './rankReports';

/** Versions of all released switches, and the progress of the last one. */
export class ReleasedSwitches {
  private readonly versionSet = new Set<number>();
  /** First pass of the last switch's map, until it is known to have begun. */
  private awaitedPass: number | undefined;
  private expectedAtMs = -Infinity;

  /**
   * Versions of all released switches. Reports are delayed and may show ranks
   * still armed for them.
   */
  get versions(): ReleasedVersions {
    return this.versionSet;
  }

  /** Whether the last switch's pass is known to have begun. */
  get hasBegun(): boolean {
    return this.awaitedPass === undefined;
  }

  /** Whether the last switch's pass has begun, or should have by now. */
  isDue(nowMs: number): boolean {
    return this.hasBegun || nowMs >= this.expectedAtMs;
  }

  /**
   * Notes that the hold of a switch was released; its pass is expected to begin
   * at `expectedAtMs`.
   */
  noteReleased(version: number, pass: number, expectedAtMs: number): void {
    this.versionSet.add(version);
    this.awaitedPass = pass;
    this.expectedAtMs = expectedAtMs;
  }

  noteReport({pass}: RankReport): void {
    if (pass >= (this.awaitedPass ?? Infinity)) this.noteBegun();
  }

  noteBegun(): void {
    this.awaitedPass = undefined;
  }

  /**
   * Notes that a rank is still armed. From now on only a report can show that
   * the pass has begun.
   */
  noteStillArmed(): void {
    this.expectedAtMs = Infinity;
  }
}
