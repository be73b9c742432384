/**
 * The agent's interface to its target. The paths, headers and fields of the
 * target's own API are known only in src/target.
 */

import type {Dispatch} from '../core/wire';

/** Load as last measured by the target; it lags behind the actual load. */
export interface LoadReport {
  /** Requests being processed. */
  readonly running: number;
  /** Requests queued inside the target. */
  readonly waiting: number;
  /** Prompt and output tokens of running and waiting requests. */
  readonly tokensInWork: number;
  /** Time of the measurement, in milliseconds on the target's clock. */
  readonly reportedAtMs: number;
  /** Milliseconds from the measurement to this observation. */
  readonly loadAgeMs: number;
}

/** An engine's position and state in a group of ranks that run in lock-step. */
export interface RankReport {
  readonly id: string;
  readonly rank: number;
  /**
   * Number of ranks in the group, experts per layer, and slots in the group.
   */
  readonly ranks: number;
  readonly experts: number;
  readonly slots: number;
  /** Passes that the rank has completed. */
  readonly step: number;
  /** Version of the expert map in use. */
  readonly mapVersion: number;
  /** Version of the prepared map that awaits its decision. */
  readonly preparedVersion?: number;
  /**
   * Whether the rank holds before its switch step until it has the decision.
   */
  readonly holding: boolean;
}

/** One change of the target's prefix cache. */
export interface CacheEvent {
  /** Increases by one with every event of one boot. */
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  /** Digest of the prompt prefix. */
  readonly prefix: string;
}

/** Cache events since the last observation. */
export interface CacheEvents {
  readonly events: readonly CacheEvent[];
  /**
   * Number of events that were lost before these. Removals may be among them,
   * so prefixes that appear to be cached may be gone.
   */
  readonly missed: number;
}

/** Role of an engine in disaggregated serving. */
export type TargetRole = 'mixed' | 'prefill' | 'decode';

/** State of the target as reported by one probe. */
export interface TargetObservation {
  /** Random at each start of the target; plain services may have none. */
  readonly bootId?: string;
  readonly state: 'ready' | 'loading';
  /** Absent when the target does not report its load. */
  readonly load?: LoadReport;
  readonly model?: string;
  readonly modelVersion?: string;
  readonly role?: TargetRole;
  readonly adapters: readonly string[];
  readonly group?: RankReport;
  /** Tokens routed to each expert since the last observation. */
  readonly expertCounts?: readonly number[];
  readonly cacheEvents: CacheEvents;
  /**
   * As reported by the target, which may report warm for a while after it got
   * cold.
   */
  readonly cold?: boolean;
}

/** An order to a target; every order has a fencing token. */
export type TargetOrder = {readonly fence: number} & (
  | {
      readonly kind: 'loadModel';
      readonly model: string;
      readonly modelVersion: string;
    }
  | {readonly kind: 'loadAdapter'; readonly adapter: string}
  | {readonly kind: 'setVersion'; readonly modelVersion: string}
  | {readonly kind: 'setRole'; readonly role: TargetRole}
  | {
      readonly kind: 'prepareMap';
      readonly version: number;
      /** First pass that may use the map; the rank holds before it. */
      readonly switchStep: number;
      /** Expert in each physical slot, by rank. */
      readonly slots: readonly (readonly number[])[];
      /** Share of its expert's tokens that each slot takes, 0 to 1. */
      readonly shares: readonly (readonly number[])[];
    }
  | {
      readonly kind: 'decideMap';
      readonly version: number;
      readonly decision: 'commit' | 'abort';
    }
  | {
      readonly kind: 'loadExpert';
      readonly expert: number;
      /** Slot of this rank, from 0. */
      readonly slot: number;
    }
);

/** Outcome of an order; when it is unknown, `order` rejects. */
export type OrderAnswer =
  | {readonly kind: 'done'}
  /** The target has received a newer fencing token. */
  | {readonly kind: 'fenced'; readonly highestFence: number}
  | {readonly kind: 'failed'; readonly detail: string}
  | {readonly kind: 'unsupported'};

/** Outcome of a cancel. */
export type CancelAnswer =
  | {readonly kind: 'cancelled'}
  /** The request does not run: it did not arrive, or has ended. */
  | {readonly kind: 'not running'}
  | {readonly kind: 'unsupported'};

/** Identifies one attempt of a request; a Dispatch has these fields. */
export type AttemptId = Pick<Dispatch, 'requestId' | 'attempt'>;

/** Headers to set on a request to the target, lower case. */
export type RequestHeaders = Readonly<Record<string, string>>;

/**
 * One target. Calls reject with PeerError, step `target`, when the outcome is
 * unknown. Its fault is `unreachable` only when no byte was sent.
 */
export interface TargetAdapter {
  /** Host and port of the target, for error messages. */
  readonly peer: string;
  /** Rejects when the target does not respond before the signal aborts. */
  observe(signal: AbortSignal): Promise<TargetObservation>;
  /** Headers for the target; they replace the caller's. */
  requestHeaders(dispatch: Dispatch): RequestHeaders;
  /** Cancels one attempt that still runs at the target. Idempotent. */
  cancel(attempt: AttemptId, signal: AbortSignal): Promise<CancelAnswer>;
  order(order: TargetOrder, signal: AbortSignal): Promise<OrderAnswer>;
  /** Closes idle connections to the target. */
  close(): void;
}
