/** What happened in a run of the whole system; times in machine milliseconds. */

import type {RunOutcome} from '../../src/core/refusal';

/** A kind of call; `once` ones carry a key and may run at most once. */
export type CallKind = 'whole' | 'stream' | 'read' | 'once';

/** What a caller got for one sending. */
export type CallResult =
  /** The whole answer to its own request; `body` is kept for keyed calls. */
  | {readonly kind: 'whole'; readonly body?: string}
  /** An answer that looks whole, and is not the caller's own whole answer. */
  | {readonly kind: 'wrong'; readonly detail: string}
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly outcome: RunOutcome;
    }
  /** A stream that says that it was cut, or a connection that broke. */
  | {readonly kind: 'broken'; readonly detail: string}
  /** Nothing, for longer than any timeout of the system. */
  | {readonly kind: 'silent'};

/** One call under way. */
export interface Sent {
  readonly kind: 'sent';
  readonly atMs: number;
  readonly callId: string;
  readonly call: CallKind;
  readonly entry: string;
  readonly key?: string;
}

/** A caller's end of a call. */
export interface Answered {
  readonly kind: 'answered';
  readonly atMs: number;
  readonly callId: string;
  readonly result: CallResult;
}

/** A target's own record of having begun a call. */
export interface Ran {
  readonly kind: 'ran';
  readonly atMs: number;
  readonly target: string;
  readonly availabilityZone: string;
  readonly callId: string;
  readonly key?: string;
}

/** A rule file that control said it accepted. */
export interface Accepted {
  readonly kind: 'accepted';
  readonly sentAtMs: number;
  readonly atMs: number;
  readonly revision: number;
  readonly text: string;
  readonly zonesOut: readonly string[];
}

/** A fault of a process, or of its links. */
export interface Disturbed {
  readonly kind: 'disturbed';
  readonly fromMs: number;
  readonly toMs: number;
  /** Processes at the ends of what failed. */
  readonly processes: readonly string[];
  readonly fault: 'stopped' | 'frozen' | 'cut';
}

/** One thing that happened. */
export type FaultEvent =
  | Sent
  | Answered
  | Ran
  | Accepted
  | Disturbed
  /** A target got more than it could bear. */
  | {readonly kind: 'fell over'; readonly atMs: number; readonly target: string}
  /** A process says that it works by this revision. */
  | {
      readonly kind: 'in force';
      readonly atMs: number;
      readonly process: string;
      readonly revision: number;
    }
  /** SIGTERM was sent. */
  | {readonly kind: 'leaving'; readonly atMs: number; readonly process: string}
  | {
      readonly kind: 'left';
      readonly atMs: number;
      readonly process: string;
      readonly code: number | null;
    }
  | {readonly kind: 'started'; readonly atMs: number; readonly process: string}
  /** All faults were over at `sinceMs`. */
  | {
      readonly kind: 'settled';
      readonly sinceMs: number;
      readonly atMs: number;
      /** What was still wrong when the wait ended. */
      readonly missing: readonly string[];
      readonly revision: number;
      readonly text: string;
    };

/** Events in the order in which they were recorded, which is not time. */
export type History = readonly FaultEvent[];

/** Events of one kind. */
export function ofKind<K extends FaultEvent['kind']>(
  history: History,
  kind: K
): readonly Extract<FaultEvent, {readonly kind: K}>[] {
  return history.filter(
    (event): event is Extract<FaultEvent, {readonly kind: K}> =>
      event.kind === kind
  );
}
