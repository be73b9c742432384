/** Counters and timings by hot-shots, kept in memory as well for `status`. */

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

/** Where a process counts what it does. */
export class Metrics {
  private readonly counts = new Map<string, number>();
  /** Absent without an address: formatting each line for nobody costs time. */
  private readonly client: StatsD | undefined;

  /** With no address the counters stay in memory only. */
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
    });
  }

  count(name: MetricName, tags: MetricTags = {}, by = 1): void {
    const id = counterId(name, tags);
    this.counts.set(id, (this.counts.get(id) ?? 0) + by);
    this.client?.increment(name, by, {...tags});
  }

  /** All counters since the start, by name and tags. */
  snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }

  close(): void {
    this.client?.close();
  }
}

function counterId(name: MetricName, tags: MetricTags): string {
  const keys = Object.keys(tags);
  if (keys.length === 0) return name;
  const parts = keys.sort().map(key => `${key}=${tags[key]}`);
  return `${name}{${parts.join(',')}}`;
}
