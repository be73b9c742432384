/** Reports what servers bounded: counted each time, logged at most once a second. */

import type {Logger} from '../core/logger';

/** Ports by what they serve. */
export type PortName = 'callers' | 'control' | 'internal' | 'metrics' | 'ready';

/** What was bounded. */
export type LimitReason =
  /** A connection was closed, since there were too many. */
  | 'connections'
  /** A connection was closed for its requests in a row. */
  | 'requests'
  /** A body was refused, since the memory for requests was taken. */
  | 'memory'
  /** A connection was closed for the unread body of an answered request. */
  | 'unreadBody';

/** One limit that took effect. */
export interface LimitEvent {
  readonly port: PortName;
  readonly reason: LimitReason;
  /** Address of the client, where it is known. */
  readonly client?: string;
}

const MIN_LOG_INTERVAL_MS = 1_000;

/** Counts and logs limits that took effect. */
export class LimitReporter {
  private readonly logged = new Map<string, {atMs: number; silent: number}>();

  constructor(
    private readonly logger: Logger,
    private readonly count: (port: PortName, reason: LimitReason) => void
  ) {}

  report(event: LimitEvent): void {
    const {port, reason} = event;
    this.count(port, reason);
    const key = `${port} ${reason}`;
    const last = this.logged.get(key) ?? {atMs: -Infinity, silent: 0};
    this.logged.set(key, last);
    const nowMs = performance.now();
    if (nowMs - last.atMs < MIN_LOG_INTERVAL_MS) {
      last.silent++;
      return;
    }
    const {silent} = last;
    this.logger.warn(
      {event: 'client.limited', ...event, unlogged: silent},
      `limit of ${reason} at the port for ${port}`
    );
    this.logged.set(key, {atMs: nowMs, silent: 0});
  }
}
