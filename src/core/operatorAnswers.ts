/** What control answers to the operators' client. */

import type {Announcement, CustomerUsage} from './wire';

/** Result of a submission in the agreed order of all submissions. */
export type SubmitResult =
  | {
      readonly kind: 'accepted';
      readonly revision: number;
      readonly resent: boolean;
    }
  | {
      readonly kind: 'superseded';
      readonly revision: number;
      readonly current: number;
    }
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      readonly current: number;
      /** Who holds that number. */
      readonly winner: string;
    }
  | {readonly kind: 'gap'; readonly revision: number; readonly current: number};

/** Answer to a submission; a file with problems never reaches the log. */
export type SubmitAnswer =
  | SubmitResult
  | {
      readonly kind: 'invalid';
      readonly problems: readonly {
        readonly line: number;
        readonly column: number;
        readonly reason: string;
      }[];
    };

/** One control instance, as it sees itself. */
export interface InstanceStatus {
  readonly instanceId: string;
  readonly role: string;
  readonly term: number;
  readonly leaderId?: string;
  readonly voter: boolean;
  readonly commitIndex: number;
}

/** An entry or agent, as one control instance hears of it. */
export interface ProcessStatus {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly bootId: string;
  readonly availabilityZone: string;
  readonly heldRevision: number;
  /** Milliseconds since its last poll. */
  readonly pollAgeMs: number;
  /** Milliseconds since it proved its rules current; absent when it can't. */
  readonly provenAgeMs?: number;
}

/** The view of one control instance. */
export interface StatusAnswer {
  readonly instance: InstanceStatus;
  readonly revision: number;
  readonly rulesText: string;
  readonly processes: readonly ProcessStatus[];
  readonly targets: readonly Announcement[];
}

/** Use by customer since the system was set up. */
export interface UsageAnswer {
  readonly customers: readonly CustomerUsage[];
}
