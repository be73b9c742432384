/**
 * Counters, histograms and gauges of one node, in the Prometheus exposition
 * format. Label values are the services and urgencies of the site document and kinds
 * that are fixed in the code, so that the number of series is bounded.
 */

import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {BodyFraming} from './bodyFraming';
import type {PeerFault} from './errors';

/**
 * From the response time of an idle target to the longest timeouts in use,
 * seconds.
 */
const LATENCY_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 2, 4, 8, 16,
];
/** Finest around the pauses that callers accept, seconds. */
const PAUSE_BUCKETS_S = [0.03, 0.06, 0.09, 0.12, 0.15, 0.2, 0.4, 1, 2];
const MS_PER_S = 1_000;
/** Crashes under one request are counted up to this number. */
const MAX_COUNTED_CRASHES = 3;

/** Values that are read when the metrics are scraped. */
export interface NodeGauges {
  /** 1 when this node is the leader, otherwise 0. */
  isLeader(): number;
  siteVersion(): number;
  /** Time since a leader confirmed the site document; NaN before the first. */
  siteAgeMs(): number;
  /** Nodes that have recently reported to the leader. */
  activeNodes(): number;
  /** Log lines dropped since the start. */
  droppedLines(): number;
  /** Bytes of responses that are held until they are whole. */
  heldBytes(): number;
  /** Bytes that requests hold in all: bodies and responses. */
  requestBytes(): number;
  /** Open connections of clients by port. */
  connections(): ReadonlyMap<string, number>;
  /** One entry per service. */
  pools(): readonly PoolGauge[];
}

/** The state of one service at this node. */
export interface PoolGauge {
  readonly service: string;
  /** Concurrency limit of this node for the service. */
  readonly places: number;
  readonly inFlight: number;
  readonly waiting: number;
  /** Pass duration measured from streams, milliseconds; 0 when none runs. */
  readonly passMs: number;
  /** Present admission ratio by urgency; empty unless the service is prioritized. */
  readonly admissionRatios: ReadonlyMap<string, number>;
}

/** What became of a request for a prioritized service at its admission. */
export type AdmissionOutcome =
  'admitted' | 'refused_by_ratio' | 'refused_by_queue';

/** How a call to a node that should lead ended. */
export type LeaderCallOutcome =
  'done' | 'notLeader' | 'invalid' | PeerFault['kind'];

/** Work of one customer at one service per second, output tokens. */
export interface CustomerWorkGauge {
  readonly service: string;
  /** Name of the customer; empty for callers without a key. */
  readonly customer: string;
  /** Work that is admitted. */
  readonly used: number;
  /** Work that may be admitted. */
  readonly allowed: number;
}

/** Timings of one request that a target answered, milliseconds. */
export interface RequestTimings {
  /** From the arrival of the request until the queue admitted it. */
  readonly placeMs: number;
  /** From the arrival until the first event; 0 without a stream. */
  readonly firstEventMs: number;
  /** Longest pause between two events. */
  readonly longestGapMs: number;
}

/** The Prometheus metrics of one node. */
export class NodeMetrics {
  private readonly registry = new Registry();
  private readonly refusals = this.counter(
    'marlpulley_refusals_total',
    'requests that this node answered itself, by reason',
    ['reason']
  );
  private readonly limited = this.counter(
    'marlpulley_client_limits_total',
    'limits of clients that took effect, by port and reason',
    ['port', 'reason']
  );
  private readonly attempts = this.counter(
    'marlpulley_attempts_total',
    'sends to targets, by service and how they ended',
    ['service', 'end']
  );
  private readonly responses = this.counter(
    'marlpulley_responses_total',
    'responses of targets, by service, what marks the end of the body, and how the attempt ended',
    ['service', 'framing', 'end']
  );
  private readonly targetCrashes = this.counter(
    'marlpulley_target_crashes_total',
    'targets that crashed under requests of this node, by service',
    ['service']
  );
  private readonly crashesUnderRequests = this.counter(
    'marlpulley_crashes_under_requests_total',
    'requests of this node at a target that crashed, by how many crashed under the request over all tries at all nodes',
    ['crashes']
  );
  private readonly orders = this.counter(
    'marlpulley_map_orders_total',
    'orders to ranks, by kind and answer',
    ['kind', 'answer']
  );
  private readonly switches = this.counter(
    'marlpulley_map_switches_total',
    'switches of expert maps that were begun, by group',
    ['group']
  );
  private readonly reports = this.counter(
    'marlpulley_reports_total',
    'reports to the leader, by outcome',
    ['outcome']
  );
  private readonly leaderCalls = this.counter(
    'marlpulley_leader_calls_total',
    'calls to other nodes in search of the leader, by outcome',
    ['outcome']
  );
  private readonly limitedTargetCalls = this.counter(
    'marlpulley_limited_target_calls_total',
    'calls to targets that state a rate limit, by kind',
    ['kind']
  );
  private readonly restingTargetCalls = this.counter(
    'marlpulley_resting_target_calls_total',
    'calls to targets that asked this node for a rest, by kind',
    ['kind']
  );
  private readonly invalidHeaders = this.counter(
    'marlpulley_target_headers_invalid_total',
    'headers of targets whose values were ignored, by name',
    ['header']
  );
  private readonly admissions = this.counter(
    'marlpulley_admission_total',
    'requests for prioritized services, by urgency and outcome of the admission',
    ['service', 'urgency', 'outcome']
  );
  private readonly slotWait = this.histogram(
    'marlpulley_place_wait_seconds',
    'time from the arrival of a request to its place'
  );
  private readonly firstEvent = this.histogram(
    'marlpulley_first_event_seconds',
    'time from the arrival of a request to the first event of its stream'
  );
  private readonly targetTime = this.histogram(
    'marlpulley_target_seconds',
    'time that a send took at its target'
  );
  private readonly longestPause = this.histogram(
    'marlpulley_longest_pause_seconds',
    'longest pause between two events of a stream',
    PAUSE_BUCKETS_S
  );

  refused(reason: string): void {
    this.refusals.inc({reason});
  }

  /** Counts a limit of clients that took effect at a port. */
  clientLimited(port: string, reason: string): void {
    this.limited.inc({port, reason});
  }

  attempted(service: string, end: string, tookMs: number): void {
    this.attempts.inc({service, end});
    this.targetTime.observe({service}, tookMs / MS_PER_S);
  }

  /** Counts a response whose headers arrived. */
  responded(service: string, framing: BodyFraming, end: string): void {
    this.responses.inc({service, framing, end});
  }

  answered(service: string, marks: RequestTimings): void {
    this.slotWait.observe({service}, marks.placeMs / MS_PER_S);
    if (marks.firstEventMs === 0) return;
    this.firstEvent.observe({service}, marks.firstEventMs / MS_PER_S);
    this.longestPause.observe({service}, marks.longestGapMs / MS_PER_S);
  }

  admission(service: string, urgency: string, outcome: AdmissionOutcome): void {
    this.admissions.inc({service, urgency, outcome});
  }

  targetCrashed(service: string): void {
    this.targetCrashes.inc({service});
  }

  /** Counts a request at a target that crashed; `crashes` includes this one. */
  requestLostTarget(crashes: number): void {
    const several = `${MAX_COUNTED_CRASHES}+`;
    const label =
      crashes >= MAX_COUNTED_CRASHES ? several : String(Math.max(1, crashes));
    this.crashesUnderRequests.inc({crashes: label});
  }

  ordered(kind: string, answer: string): void {
    this.orders.inc({kind, answer});
  }

  limitedTargetCalled(kind: string): void {
    this.limitedTargetCalls.inc({kind});
  }

  restingTargetCalled(kind: string): void {
    this.restingTargetCalls.inc({kind});
  }

  invalidHeader(header: string): void {
    this.invalidHeaders.inc({header});
  }

  switched(group: string): void {
    this.switches.inc({group});
  }

  reported(outcome: 'done' | 'failed'): void {
    this.reports.inc({outcome});
  }

  /** Counts a call to a node that should lead. */
  leaderCalled(outcome: LeaderCallOutcome): void {
    this.leaderCalls.inc({outcome});
  }

  /** Registers the gauges, which are read at each scrape. */
  registerGauges(gauges: NodeGauges): void {
    this.gauge('marlpulley_leads', 'whether this node leads', gauges.isLeader);
    this.gauge(
      'marlpulley_site_version',
      'version of the document in force here',
      gauges.siteVersion
    );
    this.gauge(
      'marlpulley_site_age_seconds',
      'time since a leader confirmed the document as the newest',
      () => gauges.siteAgeMs() / MS_PER_S
    );
    this.gauge(
      'marlpulley_active_nodes',
      'nodes that share the places of services',
      gauges.activeNodes
    );
    this.gauge(
      'marlpulley_log_lines_dropped',
      'log lines that nobody read in time, since the start',
      gauges.droppedLines
    );
    this.gauge(
      'marlpulley_held_response_bytes',
      'bytes of responses that are held until they are whole',
      gauges.heldBytes
    );
    this.gauge(
      'marlpulley_request_bytes',
      'bytes that requests hold in all: bodies, and responses until they are whole',
      gauges.requestBytes
    );
    this.connectionGauge(gauges);
    this.poolGauge('places', 'places lent to this node', gauges, p => p.places);
    this.poolGauge('in_flight', 'places in use', gauges, p => p.inFlight);
    this.poolGauge('waiting', 'requests that wait', gauges, p => p.waiting);
    this.poolGauge(
      'pace_seconds',
      'length of a pass as streams show it',
      gauges,
      p => p.passMs / MS_PER_S
    );
    this.admissionRatioGauge(gauges);
  }

  /** Registers the gauges of the leader's shares of customers. */
  registerCustomerGauges(read: () => readonly CustomerWorkGauge[]): void {
    this.customerGauge(
      'work',
      'work per second that is admitted, on the leader',
      () => read().map(gauge => ({...gauge, value: gauge.used}))
    );
    this.customerGauge(
      'share',
      'work per second that may be admitted, on the leader',
      () => read().map(gauge => ({...gauge, value: gauge.allowed}))
    );
  }

  /** The metrics in the exposition format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  get contentType(): string {
    return this.registry.contentType;
  }

  private counter<T extends string>(
    name: string,
    help: string,
    labelNames: readonly T[]
  ): Counter<T> {
    const registers = [this.registry];
    return new Counter({name, help, labelNames, registers});
  }

  private histogram(
    name: string,
    help: string,
    buckets: readonly number[] = LATENCY_BUCKETS_S
  ): Histogram<'service'> {
    return new Histogram({
      name,
      help,
      labelNames: ['service'],
      buckets: [...buckets],
      registers: [this.registry],
    });
  }

  private gauge(name: string, help: string, read: () => number): void {
    const registers = [this.registry];
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  }

  private connectionGauge(gauges: NodeGauges): void {
    new Gauge({
      name: 'marlpulley_connections',
      help: 'open connections of clients, by port',
      labelNames: ['port'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [port, count] of gauges.connections())
          this.set({port}, count);
      },
    });
  }

  private admissionRatioGauge(gauges: NodeGauges): void {
    new Gauge({
      name: 'marlpulley_admission_ratio',
      help: 'part of the arrivals that is admitted, by service and urgency',
      labelNames: ['service', 'urgency'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const {service, admissionRatios} of gauges.pools())
          for (const [urgency, ratio] of admissionRatios)
            this.set({service, urgency}, ratio);
      },
    });
  }

  private customerGauge(
    name: string,
    help: string,
    read: () => readonly {service: string; customer: string; value: number}[]
  ): void {
    new Gauge({
      name: `marlpulley_customer_${name}`,
      help: `${help}, by service and customer`,
      labelNames: ['service', 'customer'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const {service, customer, value} of read())
          this.set({service, customer}, value);
      },
    });
  }

  private poolGauge(
    name: string,
    help: string,
    gauges: NodeGauges,
    valueOf: (pool: PoolGauge) => number
  ): void {
    new Gauge({
      name: `marlpulley_pool_${name}`,
      help: `${help}, by service`,
      labelNames: ['service'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const pool of gauges.pools())
          this.set({service: pool.service}, valueOf(pool));
      },
    });
  }
}
