/** Replies of control to the command-line client of operators. */

import type {Announcement, CustomerUsage} from './wire';

/** Result of submitting a rule file, decided in log order. */
export type SubmitResult =
  | {
      readonly kind: 'accepted';
      readonly revision: number;
      /** Whether the same file had been accepted before. */
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
      /** Who submitted the other file with that revision. */
      readonly winner: string;
    }
  /** The revision skips one or more after the current. */
  | {readonly kind: 'gap'; readonly revision: number; readonly current: number};

/** Reply to a submission; an invalid file never reaches the log. */
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

/** State of one control instance, as it reports itself. */
export interface InstanceStatus {
  readonly instanceId: string;
  readonly role: string;
  readonly term: number;
  readonly leaderId?: string;
  readonly voter: boolean;
  readonly commitIndex: number;
}

/** An entry or agent, as last polled one control instance. */
export interface ProcessStatus {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly bootId: string;
  readonly availabilityZone: string;
  readonly heldRevision: number;
  /** Milliseconds since its last poll. */
  readonly pollAgeMs: number;
  /** Age of its proof that its rules are current; absent without a proof. */
  readonly provenAgeMs?: number;
}

/** Reply to `status`: the view of one control instance. */
export interface StatusAnswer {
  readonly instance: InstanceStatus;
  readonly revision: number;
  readonly rulesText: string;
  readonly processes: readonly ProcessStatus[];
  readonly targets: readonly Announcement[];
}

/** Reply to `usage`: usage by customer since the system was set up. */
export interface UsageAnswer {
  readonly customers: readonly CustomerUsage[];
}
