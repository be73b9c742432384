/** Events of a run of the whole system; times are wall-clock milliseconds. */

import type {RunOutcome} from '../../src/core/refusal';

/** A kind of call; `once` calls carry a key and may run at most once. */
export type CallKind = 'whole' | 'stream' | 'read' | 'once';

/** What a caller got for one request. */
export type CallResult =
  /** The complete response to its own request; `body` is kept for keyed calls. */
  | {readonly kind: 'whole'; readonly body?: string}
  /** A response that looks complete, but is not the one to the caller's request. */
  | {readonly kind: 'wrong'; readonly detail: string}
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly outcome: RunOutcome;
    }
  /** A stream that reports that it was cut, or a connection error. */
  | {readonly kind: 'broken'; readonly detail: string}
  /** No response for longer than any timeout of the system. */
  | {readonly kind: 'silent'};

/** A caller sent a request. */
export interface Sent {
  readonly kind: 'sent';
  readonly atMs: number;
  readonly callId: string;
  readonly call: CallKind;
  readonly entry: string;
  readonly key?: string;
}

/** A caller's request ended. */
export interface Answered {
  readonly kind: 'answered';
  readonly atMs: number;
  readonly callId: string;
  readonly result: CallResult;
}

/** A target recorded that it began to run a request. */
export interface Ran {
  readonly kind: 'ran';
  readonly atMs: number;
  readonly target: string;
  readonly availabilityZone: string;
  readonly callId: string;
  readonly key?: string;
}

/** Control confirmed that it accepted a rule file. */
export interface Accepted {
  readonly kind: 'accepted';
  readonly sentAtMs: number;
  readonly atMs: number;
  readonly revision: number;
  readonly text: string;
  readonly zonesOut: readonly string[];
}

/** A fault of a process or of a link. */
export interface FaultInterval {
  readonly kind: 'disturbed';
  readonly fromMs: number;
  readonly toMs: number;
  /** The process that failed, or the processes at both ends of the link. */
  readonly processes: readonly string[];
  readonly fault: 'stopped' | 'frozen' | 'cut';
}

/** One event of the history. */
export type FaultEvent =
  | Sent
  | Answered
  | Ran
  | Accepted
  | FaultInterval
  /** A target crashed because it was overloaded while cold. */
  | {readonly kind: 'fell over'; readonly atMs: number; readonly target: string}
  /** A process logged that it applied this revision. */
  | {
      readonly kind: 'in force';
      readonly atMs: number;
      readonly process: string;
      readonly revision: number;
    }
  /** SIGTERM was sent to a process. */
  | {readonly kind: 'leaving'; readonly atMs: number; readonly process: string}
  | {
      readonly kind: 'left';
      readonly atMs: number;
      readonly process: string;
      readonly code: number | null;
    }
  | {readonly kind: 'started'; readonly atMs: number; readonly process: string}
  /** The wait for recovery ended at `atMs`; all faults were over at `sinceMs`. */
  | {
      readonly kind: 'settled';
      readonly sinceMs: number;
      readonly atMs: number;
      /** Conditions that still did not hold when the wait ended. */
      readonly missing: readonly string[];
      readonly revision: number;
      readonly text: string;
    };

/** Events in the order of recording, which is not the order of time. */
export type History = readonly FaultEvent[];

/** Events of one kind. */
export function eventsOfKind<K extends FaultEvent['kind']>(
  history: History,
  kind: K
): readonly Extract<FaultEvent, {readonly kind: K}>[] {
  return history.filter(
    (event): event is Extract<FaultEvent, {readonly kind: K}> =>
      event.kind === kind
  );
}
