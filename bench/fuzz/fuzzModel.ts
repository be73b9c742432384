/** Interface between the fuzz command and its models. */

/** Runs one decision state machine under seeded schedules. */
export interface FuzzModel {
  readonly name: string;
  /** Runs one schedule; throws an error that names the violated invariant. */
  run(seed: number): void;
}
