/** Interface of the storage of the log's durable state. */

import type {DurableState, LogWrite} from './entry';

/** Result of loading the durable state at start. */
export type LoadResult =
  | {readonly kind: 'empty'}
  | {readonly kind: 'state'; readonly state: DurableState}
  /** Acknowledged data may be missing, so none of the state can be trusted. */
  | {readonly kind: 'damaged'; readonly detail: string};

/** Durable state of one instance. A failed call must not be retried. */
export interface LogStorage {
  load(): Promise<LoadResult>;
  /** Performs the writes in order and resolves once all are durable. */
  write(writes: readonly LogWrite[]): Promise<void>;
  /** Moves all state into another directory, which leaves the storage empty. */
  setAside(): Promise<void>;
  /** Bytes of entries written since the last snapshot. */
  readonly bytesSinceSnapshot: number;
  close(): Promise<void>;
}
