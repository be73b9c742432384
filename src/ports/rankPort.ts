/** How the ranks of a model group are read and ordered. */

/** Experts by set, then by rank. */
export type MapLists = readonly (readonly (readonly number[])[])[];

/** State of one rank. */
export interface RankReport {
  /** Pass that was begun last. */
  readonly pass: number;
  /** Version of the map in use; 0 is the one that the group starts with. */
  readonly mapVersion: number;
  /** Version whose experts are all there; 0 for none. */
  readonly preparedVersion: number;
  readonly armed?: {readonly version: number; readonly pass: number};
  /** Pass before which the group waits. */
  readonly heldPass?: number;
  /** Times that its work takes as long as usual; 1 for a rank in order. */
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
      readonly lists: MapLists;
    }
  | {readonly kind: 'arm'; readonly version: number; readonly pass: number}
  | {readonly kind: 'disarm'; readonly version: number}
  | {readonly kind: 'hold'; readonly pass: number}
  | {readonly kind: 'go'; readonly pass: number};

/** Who orders, and for which life of the group. */
export interface OrderScope {
  /** Rises with each new leader. */
  readonly fence: number;
  readonly epoch: number;
}

/** A call to a rank. */
export interface RankCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

/** What the status of an answer to an order says. */
export type OrderAnswer =
  /** In force, or begun. */
  | 'done'
  /** It does not fit the rank's state, and never took effect. */
  | 'refused'
  /** Another leader has a higher fence. */
  | 'fenced'
  /** Nothing is known. */
  | 'unknown';

/** Names and formats towards ranks. */
export interface RankCodec {
  reportCall(): RankCall;
  countsCall(): RankCall;
  mapCall(): RankCall;
  orderCall(order: RankOrder, scope: OrderScope): RankCall;
  /** Undefined when the text is not understood. */
  readReport(text: string): RankReport | undefined;
  readCounts(text: string): ExpertCounts | undefined;
  readMap(text: string): RankMap | undefined;
  readOrderStatus(status: number): OrderAnswer;
}
