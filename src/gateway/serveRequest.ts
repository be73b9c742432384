/**
 * Serves one request: finds its route, reads its body, waits for a slot, and
 * sends it to targets until one responds or no more attempts are allowed.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ClusterView} from '../cluster/clusterView';
import {hasUnknownCoding} from '../core/bodyFraming';
import {unreachable} from '../core/errors';
import {readBody} from '../core/readBody';
import {abortResponse} from '../core/responseEnd';
import type {MemoryHolding} from '../inbound/memoryAccount';
import {noSiteRetryMs, outageRetryMs} from '../policy/admission/outageRetry';
import {restRetryMs} from '../policy/admission/restRetry';
import {urgencyOf} from '../policy/admission/urgency';
import type {GatewayRefusal} from '../ports/callerPort';
import {admitRequest} from './admitRequest';
import type {Gateway} from './gateway';
import type {RoutedRequest} from './requestState';
import {RequestState} from './requestState';
import {requestDigest} from './requestDigest';
import {
  cancelIfQuarantined,
  isQuarantined,
  QUARANTINE_RETRY_MS,
} from './quarantineRefusal';
import {routeRequest} from './routeRequest';
import {rounded} from '../core/rounded';
import {runAttempts} from './runAttempts';
import {siteRefusal} from './siteRefusal';
import {STOPPING_REFUSAL, stopRefusal} from './stopRefusal';
import {TargetSelection} from './targetSelection';

const INTERNAL_ERROR_RETRY_MS = 500;
const MIN_MEMORY_RETRY_MS = 500;
const MEMORY_RETRY_SPREAD_MS = 1_000;

/** Serves one request until its response has ended; never rejects. */
export async function serveRequest(
  gateway: Gateway,
  req: IncomingMessage,
  res: ServerResponse
): Promise<void> {
  const {callers, logger} = gateway.parts;
  const state = new RequestState(req, res, callers.read(req));
  gateway.requests.add(state);
  try {
    const refusal = await routeAndRun(gateway, state);
    if (refusal !== undefined) sendRefusal(gateway, state, refusal);
  } catch (err) {
    const {attemptId} = state.caller;
    logger.error(
      {event: 'request.failed', attemptId, err},
      'internal error while serving the request'
    );
    if (!res.headersSent) refuseInternalError(gateway, state);
    else abortResponse(res);
  } finally {
    gateway.requests.delete(state);
  }
}

function refuseInternalError(gateway: Gateway, state: RequestState): void {
  const kind = state.mayHaveRun ? 'outcomeUnknown' : 'noTarget';
  const refusal: GatewayRefusal =
    kind === 'noTarget' ? {kind, retryInMs: INTERNAL_ERROR_RETRY_MS} : {kind};
  sendRefusal(gateway, state, refusal);
}

async function routeAndRun(
  gateway: Gateway,
  state: RequestState
): Promise<GatewayRefusal | undefined> {
  const {view} = gateway;
  const {waitMs = Infinity} = state.caller;
  if (hasUnknownCoding(state.req))
    return {kind: 'badRequest', detail: 'unknown transfer coding'};
  if (view?.index === undefined) {
    const knowsLeader = gateway.parts.node()?.knowsLeader === true;
    const retryInMs = noSiteRetryMs(knowsLeader, waitMs, Math.random);
    return {kind: 'noSite', retryInMs};
  }
  const routing = routeRequest(view.index, state.caller, Math.random);
  if (routing.kind === 'refused')
    return siteRefusal(gateway, state, view, routing.refusal);
  const {route, service, customer} = routing;
  const urgency = urgencyOf(route.priority, customer?.priority);
  state.startDeadline(Math.min(route.timeoutMs, waitMs));
  if (!gateway.requests.canEndInTime(route.name, state))
    return STOPPING_REFUSAL;
  const room = gateway.parts.memory.open('callers');
  try {
    const {maxBodyBytes} = view.index.site.limits;
    const body = await readCallerBody(gateway, state, view, maxBodyBytes, room);
    if (!Buffer.isBuffer(body)) return body;
    state.digest = requestDigest(state.req, state.caller, body);
    return await runUnlessQuarantined(gateway, state, {
      route,
      service,
      customer,
      urgency,
      urgencyRank: gateway.urgencyRank(view.index, service.name, urgency),
      body,
    });
  } finally {
    room.release();
  }
}

/** The body, or why there is none; undefined if its caller left. */
async function readCallerBody(
  gateway: Gateway,
  state: RequestState,
  view: ClusterView,
  maxBytes: number,
  room: MemoryHolding
): Promise<Buffer | GatewayRefusal | undefined> {
  const {cancellation: signal} = state;
  const read = await readBody(state.req, {maxBytes, room, signal});
  switch (read.kind) {
    case 'whole':
      return read.body;
    case 'tooLarge':
      return siteRefusal(gateway, state, view, {kind: 'bodyTooLarge'});
    case 'noRoom':
      state.refusalCause = {boundBy: 'memory'};
      return {kind: 'overloaded', retryInMs: memoryRetryMs(Math.random)};
    case 'stopped':
      return state.stopped === 'timedOut'
        ? {kind: 'bodyTimeout'}
        : stopRefusal(state);
    case 'cut':
      return undefined;
    default:
      return unreachable(read);
  }
}

/** Incomplete bodies, which give memory back, last for seconds. */
function memoryRetryMs(random: () => number): number {
  return MIN_MEMORY_RETRY_MS + random() * MEMORY_RETRY_SPREAD_MS;
}

async function runUnlessQuarantined(
  gateway: Gateway,
  state: RequestState,
  routed: RoutedRequest
): Promise<GatewayRefusal | undefined> {
  if (isQuarantined(gateway, state, routed))
    return {kind: 'quarantined', retryInMs: QUARANTINE_RETRY_MS};
  const release = cancelIfQuarantined(gateway, state, routed);
  try {
    return await runWithSlot(gateway, state, routed);
  } finally {
    release();
  }
}

/** Waits for a slot, runs the attempts and releases the slot. */
async function runWithSlot(
  gateway: Gateway,
  state: RequestState,
  routed: RoutedRequest
): Promise<GatewayRefusal | undefined> {
  const pool = gateway.pool(routed.service.name);
  if (pool.isStalled(performance.now())) {
    const retryInMs = outageRetryMs(state.remainingMs, Math.random);
    return {kind: 'noTarget', retryInMs};
  }
  const {tooLongRestMs} = new TargetSelection(gateway, state, routed);
  if (tooLongRestMs > 0) {
    const retryInMs = restRetryMs(tooLongRestMs, Math.random);
    return {kind: 'noTarget', retryInMs};
  }
  pool.noteArrival();
  const refusal = await admitRequest(gateway, state, routed);
  if (refusal !== 'admitted') return refusal;
  const admittedAtMs = performance.now();
  state.marks.placeMs = state.ageMs;
  try {
    if (state.stopped !== undefined) return stopRefusal(state);
    return await runAttempts(gateway, state, routed);
  } finally {
    pool.queue.leave(performance.now() - admittedAtMs);
    gateway.requests.recordDuration(routed.route.name, state);
  }
}

function sendRefusal(
  gateway: Gateway,
  state: RequestState,
  refusal: GatewayRefusal
): void {
  const {res, caller} = state;
  const {callers, logger, metrics} = gateway.parts;
  const {view} = gateway;
  const response = callers.refuse(refusal);
  metrics.refused(refusal.kind);
  logger.info(
    {
      event: 'request.refused',
      attemptId: caller.attemptId,
      requestDigest: state.digest,
      refusal,
      ...rounded(state.refusalFigures),
      ...state.refusalCause,
      siteVersion: view?.index?.site.version,
      ...rounded(siteAge(view)),
      ageMs: Math.round(state.ageMs),
      tried: [...state.tried],
    },
    refusal.kind
  );
  if (res.headersSent || res.destroyed) return;
  res.writeHead(response.status, {
    ...response.headers,
    'content-length': Buffer.byteLength(response.body),
  });
  res.end(response.body);
}

/** Time since a leader confirmed the document, milliseconds. */
function siteAge(view: ClusterView | undefined): {siteAgeMs?: number} {
  const confirmedAtMs = view?.confirmedAtMs;
  if (confirmedAtMs === undefined) return {};
  return {siteAgeMs: performance.now() - confirmedAtMs};
}
