/** What a target tells of itself. */

/** A group of ranks that step together, as one of its ranks tells it. */
export interface GroupMembership {
  readonly name: string;
  /** Counts up each time the group forms anew. */
  readonly epoch: number;
  readonly rank: number;
  /** Ranks of the whole group. */
  readonly size: number;
  /** Whether all ranks are there and work together. */
  readonly open: boolean;
}

/** One announcement; a later one of the same life replaces it. */
export interface TargetAnnouncement {
  readonly id: string;
  /** Start of this life, Unix milliseconds; orders lives under one id. */
  readonly bornMs: number;
  /** Counts up within one life. */
  readonly sequence: number;
  readonly service: string;
  /** HOST:PORT */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** How much longer it stays cold, milliseconds; 0 when warm. */
  readonly coldMs: number;
  /** Absent for targets that work alone. */
  readonly group?: GroupMembership;
}

/** A target as all nodes share it: its last announcement, or that it left. */
export type TargetRecord = Omit<TargetAnnouncement, 'state'> & {
  readonly state: 'ready' | 'draining' | 'silent' | 'gone';
};
