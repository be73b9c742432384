/** Interface to the ranks of a model group: reading their state, sending orders. */

/** An expert map: the experts of each rank, by expert set, then by rank. */
export type GroupExpertMap = readonly (readonly (readonly number[])[])[];

/** State of one rank. */
export interface RankReport {
  /** Last pass that was started. */
  readonly pass: number;
  /** Version of the map in use; 0 is the initial map of the group. */
  readonly mapVersion: number;
  /** Version whose experts have all been copied; 0 for none. */
  readonly preparedVersion: number;
  /** Version that the rank will switch to, and the first pass that uses it. */
  readonly armed?: {readonly version: number; readonly pass: number};
  /** Pass before which the group is held. */
  readonly heldPass?: number;
  /** Factor by which its work takes longer than usual; 1 for a healthy rank. */
  readonly slowness: number;
}

/** How often a rank's requests chose each expert since it started, by set. */
export interface ExpertCounts {
  readonly pass: number;
  readonly epoch: number;
  readonly counts: readonly number[];
}

/** The map that one rank uses. */
export interface RankMap {
  readonly epoch: number;
  readonly version: number;
  /** Experts of this rank by set. */
  readonly experts: readonly (readonly number[])[];
}

/** An order to one rank. */
export type RankOrder =
  | {
      readonly kind: 'prepare';
      readonly version: number;
      readonly lists: GroupExpertMap;
    }
  | {readonly kind: 'arm'; readonly version: number; readonly pass: number}
  | {readonly kind: 'disarm'; readonly version: number}
  | {readonly kind: 'hold'; readonly pass: number}
  | {readonly kind: 'go'; readonly pass: number};

/** The leader that sends an order, and the epoch of the group it is meant for. */
export interface OrderScope {
  /** Fencing token: increases with each new leader. */
  readonly fence: number;
  readonly epoch: number;
}

/** A call to a rank. */
export interface RankCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

/** Outcome of an order, from the status of the rank's response. */
export type OrderAnswer =
  /** Applied, or started. */
  | 'done'
  /** Rejected because of the rank's state; it never took effect. */
  | 'refused'
  /** Rejected because of a higher fencing token, from a newer leader. */
  | 'fenced'
  /** It may or may not have taken effect. */
  | 'unknown';

/** Paths and body formats of the rank interface. */
export interface RankCodec {
  reportCall(): RankCall;
  countsCall(): RankCall;
  mapCall(): RankCall;
  orderCall(order: RankOrder, scope: OrderScope): RankCall;
  /** The `read` methods return undefined for text that they cannot parse. */
  readReport(text: string): RankReport | undefined;
  readCounts(text: string): ExpertCounts | undefined;
  readMap(text: string): RankMap | undefined;
  readOrderStatus(status: number): OrderAnswer;
}
