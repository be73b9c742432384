/** Counters, sent to StatsD by hot-shots and kept in memory. */

import {StatsD} from 'hot-shots';

/** Every metric that a process may emit; docs/OPERATORS.md lists the same. */
export const METRICS = {
  'request.received': 'requests taken from callers, by customer',
  'request.answered': 'requests answered, by customer and status',
  'request.refused': 'refusals, by reason and step',
  'request.retried': 'attempts on another target, by reason',
  'request.hedged': 'second attempts sent to cut the tail',
  'request.cancelled': 'requests whose caller went away',
  'stream.resumed': 'streams continued on another target, by reason',
  'stream.cut': 'streams ended with an error event',
  'gate.admitted': 'requests let through to the target',
  'gate.queued': 'requests that waited at the gate',
  'gate.cold': 'times the target was taken for cold, by reason',
  'rules.applied': 'revisions put in force',
  'rules.unproven': 'times the freshness proof ran out',
  'rules.regressed': 'older revisions that were ignored',
  'peer.bytes': 'bytes of the calls between processes, by direction',
  'client.limited': 'limits of clients that took effect, by port and reason',
  'peer.rejected': 'internal connections or messages refused, by reason',
  'log.elected': 'elections won by this instance',
  'log.synced': 'durable writes',
  'map.switched': 'expert maps put in force',
  'map.aborted': 'expert map switches given up, by reason',
  'fleet.ordered': 'orders to targets to hold another model',
  'fleet.ended': 'orders for models that ended, by outcome',
  'fleet.blocked': 'times that a model began to wait for targets, by reason',
  'usage.tokens': 'tokens generated, by customer',
} as const;

/** The name of a metric. */
export type MetricName = keyof typeof METRICS;

/** Labels of one count. */
export type MetricTags = Readonly<Record<string, string>>;

interface Counter {
  readonly name: MetricName;
  readonly tags: MetricTags;
  total: number;
  sent: number;
}

/** How often a process sends the increases of its counters. */
const SEND_INTERVAL_MS = 250;
/** Fits into one Ethernet frame with the headers. */
const MAX_DATAGRAM_BYTES = 1_400;

/** The counters of one process. */
export class Metrics {
  private readonly counters = new Map<string, Counter>();
  private readonly client: StatsD | undefined;
  private readonly timer: NodeJS.Timeout | undefined;

  /** Without an address, counters stay in memory only. */
  constructor(
    processId: string,
    address?: {readonly host: string; readonly port: number}
  ) {
    if (address === undefined) return;
    this.client = new StatsD({
      ...address,
      prefix: 'marlpulley.',
      globalTags: {process: processId},
      errorHandler: () => undefined,
      maxBufferSize: MAX_DATAGRAM_BYTES,
    });
    this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS).unref();
  }

  count(name: MetricName, tags: MetricTags = {}, by = 1): void {
    const id = counterId(name, tags);
    const known = this.counters.get(id);
    if (known === undefined)
      this.counters.set(id, {name, tags, total: by, sent: 0});
    else known.total += by;
  }

  /** All counters since the start, by name and tags. */
  snapshot(): Readonly<Record<string, number>> {
    const totals = [...this.counters].map(([id, {total}]) => [id, total]);
    return Object.fromEntries(totals) as Record<string, number>;
  }

  /** Sends the remaining increases, then closes the socket. */
  close(): void {
    clearInterval(this.timer);
    this.send();
    this.client?.close();
  }

  /**
   * Sends one line per counter: a datagram per count cost each call too much.
   */
  private send(): void {
    for (const counter of this.counters.values()) {
      const increase = counter.total - counter.sent;
      if (increase === 0) continue;
      this.client?.increment(counter.name, increase, {...counter.tags});
      counter.sent = counter.total;
    }
  }
}

function counterId(name: MetricName, tags: MetricTags): string {
  let id = '';
  for (const key of Object.keys(tags).sort())
    id += `${id === '' ? '' : ','}${key}=${tags[key]}`;
  return id === '' ? name : `${name}{${id}}`;
}
