/**
 * What an agent needs of its target. Only src/target knows the paths, headers
 * and fields of a target's own interface.
 */

import type {Dispatch} from '../core/wire';

/** Load as the target itself last measured it; it lags behind the truth. */
export interface LoadReport {
  /** Requests being worked on. */
  readonly running: number;
  /** Requests waiting inside the target. */
  readonly waiting: number;
  /** Prompt and output tokens of running and waiting requests. */
  readonly tokensInWork: number;
  /** When the target measured this, milliseconds on its own clock. */
  readonly reportedAtMs: number;
  /** Milliseconds between that measurement and this observation. */
  readonly loadAgeMs: number;
}

/** Place of an engine in a group of ranks that run in lock-step. */
export interface RankReport {
  readonly id: string;
  readonly rank: number;
  /** Ranks in the group, experts of a layer and slots of the whole group. */
  readonly ranks: number;
  readonly experts: number;
  readonly slots: number;
  /** Steps that the rank has completed. */
  readonly step: number;
  /** Expert map in use. */
  readonly mapVersion: number;
  /** Prepared map that waits for its decision. */
  readonly preparedVersion?: number;
  /** Whether the rank stands at its switch step until it knows the decision. */
  readonly holding: boolean;
}

/** One change of the target's prefix cache. */
export interface CacheEvent {
  /** Grows by one with every event of one boot. */
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  /** Digest of the prompt prefix. */
  readonly prefix: string;
}

/** Cache events since the last observation. */
export interface CacheEvents {
  readonly events: readonly CacheEvent[];
  /**
   * Events that were lost before these: what is known of the cache is then
   * incomplete, and prefixes that were removed may look present.
   */
  readonly missed: number;
}

/** Role of an engine in disaggregated serving. */
export type TargetRole = 'mixed' | 'prefill' | 'decode';

/** What one look at the target showed. */
export interface TargetObservation {
  /** Random at each start of the target; plain services may have none. */
  readonly bootId?: string;
  readonly state: 'ready' | 'loading';
  /** Absent when the target reports no load. */
  readonly load?: LoadReport;
  readonly model?: string;
  readonly modelVersion?: string;
  readonly role?: TargetRole;
  readonly adapters: readonly string[];
  readonly group?: RankReport;
  /** Tokens routed to each expert since the last observation. */
  readonly expertCounts?: readonly number[];
  readonly cacheEvents: CacheEvents;
  /** What the target claims; it may claim to be warm for a while after. */
  readonly cold?: boolean;
}

/** An order; all orders to a target carry a fencing number. */
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
      /** First step that may use the map; the rank holds there. */
      readonly switchStep: number;
      /** Expert of each physical slot, by rank. */
      readonly slots: readonly (readonly number[])[];
      /** Part of its expert's tokens that each slot takes, 0 to 1. */
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

/** What became of an order. When that is not known, `order` rejects instead. */
export type OrderAnswer =
  | {readonly kind: 'done'}
  /** A newer fencing number has been seen. */
  | {readonly kind: 'fenced'; readonly highestFence: number}
  | {readonly kind: 'failed'; readonly detail: string}
  | {readonly kind: 'unsupported'};

/** What became of a cancel. */
export type CancelAnswer =
  | {readonly kind: 'cancelled'}
  /** No such request runs; it never came, or has ended. */
  | {readonly kind: 'not running'}
  | {readonly kind: 'unsupported'};

/** One attempt of one request; a Dispatch is one. */
export type AttemptId = Pick<Dispatch, 'requestId' | 'attempt'>;

/** Headers to set on a request to the target, lower case. */
export type RequestHeaders = Readonly<Record<string, string>>;

/**
 * One target. Calls reject with PeerError, step `target`, when the outcome is
 * not known: `unreachable` only when no byte was sent.
 */
export interface TargetAdapter {
  /** Host and port of the target, as in errors. */
  readonly peer: string;
  /** Rejects when the target does not answer before the signal aborts. */
  observe(signal: AbortSignal): Promise<TargetObservation>;
  /** Headers for the target, over those of the caller. */
  requestHeaders(dispatch: Dispatch): RequestHeaders;
  /** Stops one attempt that still runs there. Safe to repeat. */
  cancel(attempt: AttemptId, signal: AbortSignal): Promise<CancelAnswer>;
  order(order: TargetOrder, signal: AbortSignal): Promise<OrderAnswer>;
  /** Drops idle connections to the target. */
  close(): void;
}
