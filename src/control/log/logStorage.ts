/** Where the log's durable state lives, as the driver sees it. */

import type {DurableState, LogWrite} from './entry';

/** What was found at the start. */
export type LoadResult =
  | {readonly kind: 'empty'}
  | {readonly kind: 'state'; readonly state: DurableState}
  /** Something acknowledged may be missing; nothing of it can be trusted. */
  | {readonly kind: 'damaged'; readonly detail: string};

/** Durable state of one instance. A failed call must not be tried again. */
export interface LogStorage {
  load(): Promise<LoadResult>;
  /** Resolves once all writes are durable, in order. */
  write(writes: readonly LogWrite[]): Promise<void>;
  /** Moves everything out of the way, so that the next start is empty. */
  setAside(): Promise<void>;
  /** Bytes of entries written since the last snapshot. */
  readonly bytesSinceSnapshot: number;
  close(): Promise<void>;
}
