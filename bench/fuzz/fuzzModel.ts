/** What a model gives the fuzz command. */

/** One decision state machine under seeded schedules. */
export interface FuzzModel {
  readonly name: string;
  /** Runs one schedule; throws with what was seen when a promise broke. */
  run(seed: number): void;
}
