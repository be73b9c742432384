/** Announcements of targets, and the records that nodes keep of them. */

/** Membership in a group of ranks that run in lock-step, as a rank reports it. */
export interface GroupMembership {
  readonly name: string;
  /** Increases each time the group re-forms. */
  readonly epoch: number;
  readonly rank: number;
  /** Ranks of the whole group. */
  readonly size: number;
  /** Whether all ranks are present and work together. */
  readonly open: boolean;
}

/** Characters of the names in an announcement; nodes keep them for each target. */
export const MAX_NAME_CHARS = 256;

/** Targets that nodes keep records of, with those that left lately. */
export const MAX_TARGETS = 10_000;

/** How far a boot may begin after the present of a node's clock, milliseconds. */
export const MAX_BORN_AHEAD_MS = 600_000;

/** Concurrent requests of one target; far beyond any that can be served. */
export const MAX_SLOTS = 100_000;

/** One announcement; a later one of the same boot replaces it. */
export interface TargetAnnouncement {
  readonly id: string;
  /** Start of this boot, Unix milliseconds; orders the boots of one id. */
  readonly bornMs: number;
  /** Increases within one boot. */
  readonly sequence: number;
  readonly service: string;
  /** HOST:PORT */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Time until it is warm, milliseconds; 0 when warm. */
  readonly coldMs: number;
  /** Absent for targets that work alone. */
  readonly group?: GroupMembership;
}

/** What is wrong with the start that an announcement states; undefined for nothing. */
export function bornProblem(
  {bornMs}: Pick<TargetAnnouncement, 'bornMs'>,
  wallMs: number
): string | undefined {
  return bornMs > wallMs + MAX_BORN_AHEAD_MS
    ? `born: more than ${MAX_BORN_AHEAD_MS} ms ahead of this node's clock`
    : undefined;
}

/** Result of decoding an announcement; `problem` names the field. */
export type DecodedAnnouncement =
  | {readonly ok: true; readonly announcement: TargetAnnouncement}
  | {readonly ok: false; readonly problem: string};

/** A target as nodes share it: its last announcement, or that it is lost. */
export type TargetRecord = Omit<TargetAnnouncement, 'state'> & {
  readonly state: 'ready' | 'draining' | 'silent' | 'gone';
  /**
   * Requests per second that this boot accepts from all nodes together, as it states
   * in its responses; set by the leader.
   */
  readonly rateLimit?: number;
  /**
   * The latest start that this boot has outlasted, Unix milliseconds: of a boot that was
   * announced wrongly. Copies of that one give way.
   */
  readonly outlastedBornMs?: number;
};
