/**
 * Admits one request to a slot of its service: by the admission ratios of a
 * prioritized service, then by the queue.
 */

import {rounded} from '../core/rounded';
import type {AdmissionOutcome} from '../core/nodeMetrics';
import type {ArrivingRequest} from '../policy/admission/nodeAdmission';
import {urgencyKey} from '../policy/admission/urgency';
import {reportPeriodMs} from '../policy/reportPeriod';
import {requestCost} from '../policy/sampledTargetChoice';
import type {GatewayRefusal} from '../ports/callerPort';
import type {Gateway} from './gateway';
import {maxQueueWaitMs} from './queueWait';
import type {RequestState, RoutedRequest} from './requestState';
import type {ServicePool} from './servicePool';
import {stopRefusal} from './stopRefusal';

/** Digits of a ratio in log lines. */
const RATIO_DIGITS = 3;

/**
 * Requests that a node may queue for slots of other nodes after the admission ratio
 * admitted them: the service has capacity for them, and the leader moves a slot here
 * after the next report. A node with few slots would otherwise refuse them whenever
 * all of its own are taken.
 */
const BORROW_LIMIT = 2;

/** Result of an admission; undefined when the caller is gone. */
export type AdmissionResult = GatewayRefusal | undefined | 'admitted';

/** A request that may enter the queue. */
interface QueueTicket {
  readonly isReturning: boolean;
  /** See `QueuedRequest`. */
  readonly borrowLimit: number;
  onAdmitted(): void;
  /** Counts a refusal by the queue and returns its Retry-After, milliseconds. */
  onRefused(): number;
}

/** Waits for a slot; a request that has none in time is refused at once. */
export function admitRequest(
  gateway: Gateway,
  state: RequestState,
  routed: RoutedRequest
): Promise<AdmissionResult> {
  return routed.urgencyRank === undefined
    ? admitUnprioritized(gateway, state, routed)
    : admitPrioritized(gateway, state, routed);
}

function admitUnprioritized(
  gateway: Gateway,
  state: RequestState,
  routed: RoutedRequest
): Promise<AdmissionResult> {
  const pool = gateway.pool(routed.service.name);
  const {retryTiming} = pool;
  retryTiming.recordRequest(performance.now());
  return waitForSlot(pool, state, routed, {
    isReturning: false,
    borrowLimit: 0,
    onAdmitted: () => undefined,
    onRefused: () => {
      state.refusalCause = {
        service: routed.service.name,
        boundBy: pool.boundBy,
      };
      return retryTiming.recordRefusal(performance.now(), Math.random);
    },
  });
}

async function admitPrioritized(
  gateway: Gateway,
  state: RequestState,
  routed: RoutedRequest
): Promise<AdmissionResult> {
  // Its cancellation came before the queue listens for it.
  if (state.stopped !== undefined) return stopRefusal(state);
  const pool = gateway.pool(routed.service.name);
  const {admission} = pool;
  const request = arrivingRequest(pool, state, routed);
  const decision = admission.arrive(request, performance.now());
  const urgency = urgencyKey(request.urgency);
  const count = (outcome: AdmissionOutcome) =>
    gateway.parts.metrics.admission(routed.service.name, urgency, outcome);
  const noteCause = (refusedBy: 'ratio' | 'queue') => {
    const grantAgeMs = admission.grantAgeMs(performance.now());
    state.refusalCause = {
      service: routed.service.name,
      boundBy: pool.boundBy,
      refusedBy,
      urgency,
      customer: request.customer,
      ratio: Number(decision.ratio.toFixed(RATIO_DIGITS)),
      ...(grantAgeMs === undefined ? {} : rounded({grantAgeMs})),
    };
  };
  if (decision.kind === 'refused') {
    count('refused_by_ratio');
    noteCause('ratio');
    noteFigures(pool, state, maxQueueWaitMs(routed.route));
    return {kind: 'overloaded', retryInMs: decision.retryInMs};
  }
  return waitForSlot(pool, state, routed, {
    isReturning: decision.isReturning,
    borrowLimit: borrowLimit(gateway, routed, decision.ratio),
    onAdmitted: () => count('admitted'),
    onRefused: () => {
      count('refused_by_queue');
      noteCause('queue');
      return admission.refuseInQueue(request, performance.now());
    },
  });
}

/** Other nodes' slots arrive in time only if the next report is soon. */
function borrowLimit(
  gateway: Gateway,
  {route}: RoutedRequest,
  ratio: number
): number {
  const nodes = gateway.view?.activeNodes ?? 1;
  const isOverloaded = ratio < 1;
  const isInTime = reportPeriodMs(nodes) < maxQueueWaitMs(route);
  return isOverloaded && nodes > 1 && isInTime ? BORROW_LIMIT : 0;
}

function arrivingRequest(
  pool: ServicePool,
  {caller, remainingMs}: RequestState,
  {route, customer, urgency}: RoutedRequest
): ArrivingRequest {
  const {promptTokens, outputTokens, expectedOutputTokens, promptId} = caller;
  const expected = pool.lengths.outputTokens(
    route.name,
    expectedOutputTokens,
    outputTokens
  );
  return {
    urgency,
    customer: customer?.name ?? '',
    promptId,
    work: requestCost({promptTokens, outputTokens: expected}),
    remainingMs,
    freedPerSecond: pool.queue.freedPerSecond,
  };
}

function waitForSlot(
  pool: ServicePool,
  state: RequestState,
  {route, urgency}: RoutedRequest,
  ticket: QueueTicket
): Promise<AdmissionResult> {
  const {queue} = pool;
  return new Promise(resolve => {
    const onCancel = () => {
      queue.withdraw(request);
      resolve(stopRefusal(state));
    };
    const settle = (result: AdmissionResult) => {
      state.cancellation.removeEventListener('abort', onCancel);
      resolve(result);
    };
    const maxWaitMs = maxQueueWaitMs(route);
    const request = {
      urgency,
      isReturning: ticket.isReturning,
      borrowLimit: ticket.borrowLimit,
      maxWaitMs,
      start: () => {
        ticket.onAdmitted();
        settle('admitted');
      },
      refuse: () => {
        noteFigures(pool, state, maxWaitMs);
        settle({kind: 'overloaded', retryInMs: ticket.onRefused()});
      },
    };
    state.cancellation.addEventListener('abort', onCancel);
    queue.enter(request, performance.now());
  });
}

function noteFigures(
  {queue}: ServicePool,
  state: RequestState,
  maxWaitMs: number
): void {
  const {concurrencyLimit: places, inFlight, waitingCount} = queue;
  const {serviceTimeMs} = queue;
  state.refusalFigures = {
    places,
    inFlight,
    waitingCount,
    serviceTimeMs,
    maxWaitMs,
  };
}
