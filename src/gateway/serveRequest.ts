/**
 * The chain of a request: route, body, a place, then targets one after the
 * other until one gave an answer or nothing more may be tried.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {unreachable} from '../core/errors';
import {noSiteRetryMs, outageRetryMs} from '../policy/outageRetry';
import type {GatewayRefusal} from '../ports/callerPort';
import type {Gateway} from './gateway';
import {readBody} from './readBody';
import type {Routed} from './requestState';
import {RequestState} from './requestState';
import {routeRequest} from './routeRequest';
import {rounded} from '../core/rounded';
import {runAttempts} from './runAttempts';
import {stopRefusal} from './stopRefusal';

/**
 * Part of the latency target that a request may wait for a place. What is left
 * must do for reading the prompt, the first pass and a slow pass besides. A
 * longer wait carries the load of a burst into the seconds after it.
 */
const MAX_WAIT_RATIO = 0.4;
/** Without a latency target: as long as a person waits without noticing. */
const USUAL_TARGET_MS = 500;
const FAULT_RETRY_MS = 500;

/** Serves one request to its end; never rejects. */
export async function serveRequest(
  gateway: Gateway,
  req: IncomingMessage,
  res: ServerResponse
): Promise<void> {
  const {callers, logger} = gateway.parts;
  const state = new RequestState(req, res, callers.read(req));
  try {
    const refusal = await serve(gateway, state);
    if (refusal !== undefined) answerRefusal(gateway, state, refusal);
  } catch (err) {
    const {attemptId} = state.caller;
    logger.error({event: 'request.failed', attemptId, err}, 'fault of our own');
    if (!res.headersSent) refuseFault(gateway, state);
    else res.destroy();
  }
}

function refuseFault(gateway: Gateway, state: RequestState): void {
  const kind = state.mayHaveRun ? 'outcomeUnknown' : 'noTarget';
  const refusal: GatewayRefusal =
    kind === 'noTarget' ? {kind, retryInMs: FAULT_RETRY_MS} : {kind};
  answerRefusal(gateway, state, refusal);
}

async function serve(
  gateway: Gateway,
  state: RequestState
): Promise<GatewayRefusal | undefined> {
  const {view} = gateway;
  const {waitMs = Infinity} = state.caller;
  if (view?.index === undefined) {
    const knowsLeader = gateway.parts.node()?.knowsLeader === true;
    const retryInMs = noSiteRetryMs(knowsLeader, waitMs, Math.random);
    return {kind: 'noSite', retryInMs};
  }
  const found = routeRequest(view.index, state.caller, Math.random);
  if (found.kind === 'refused') return found.refusal;
  const {route, service, customer} = found;
  state.limitTo(Math.min(route.timeoutMs, waitMs));
  const read = await readBody(state.req, view.index.site.limits.maxBodyBytes);
  switch (read.kind) {
    case 'tooLarge':
      return {kind: 'bodyTooLarge'};
    case 'gone':
      return undefined;
    case 'body':
      return withPlace(gateway, state, {
        route,
        service,
        customer,
        body: read.body,
      });
    default:
      return unreachable(read);
  }
}

/** Waits for a place, runs the attempts, gives the place back. */
async function withPlace(
  gateway: Gateway,
  state: RequestState,
  routed: Routed
): Promise<GatewayRefusal | undefined> {
  const pool = gateway.pool(routed.service.name);
  if (pool.isStalled(performance.now())) {
    const retryInMs = outageRetryMs(state.remainingMs, Math.random);
    return {kind: 'noTarget', retryInMs};
  }
  pool.noteArrival();
  const refusal = await enter(gateway, state, routed);
  if (refusal !== 'entered') return refusal;
  const sinceMs = performance.now();
  state.marks.placeMs = state.ageMs;
  try {
    if (state.stopped !== undefined) return stopRefusal(state);
    return await runAttempts(gateway, state, routed);
  } finally {
    pool.queue.leave(performance.now() - sinceMs);
  }
}

function enter(
  gateway: Gateway,
  state: RequestState,
  {route, service, customer}: Routed
): Promise<GatewayRefusal | undefined | 'entered'> {
  const pool = gateway.pool(service.name);
  const {queue, retries} = pool;
  const targetMs = route.latencyTargetMs || USUAL_TARGET_MS;
  return new Promise(resolve => {
    const onCancel = () => {
      queue.withdraw(request);
      resolve(stopRefusal(state));
    };
    const finish = (result: GatewayRefusal | 'entered') => {
      state.cancel.removeEventListener('abort', onCancel);
      resolve(result);
    };
    const request = {
      priority: customer?.priority ?? route.priority,
      maxWaitMs: targetMs * MAX_WAIT_RATIO,
      start: () => finish('entered'),
      refuse: () => {
        const {places, inFlight, waitingCount, serviceTimeMs} = queue;
        const {maxWaitMs} = request;
        state.basis = {
          places,
          inFlight,
          waitingCount,
          serviceTimeMs,
          maxWaitMs,
        };
        state.bound = {service: service.name, boundBy: pool.boundBy};
        const retryInMs = retries.refuse(performance.now(), Math.random);
        finish({kind: 'overloaded', retryInMs});
      },
    };
    state.cancel.addEventListener('abort', onCancel);
    retries.noteAsked(performance.now());
    queue.enter(request, performance.now());
  });
}

function answerRefusal(
  gateway: Gateway,
  state: RequestState,
  refusal: GatewayRefusal
): void {
  const {res, caller} = state;
  const {callers, logger, metrics} = gateway.parts;
  const answer = callers.refuse(refusal);
  metrics.refused(refusal.kind);
  logger.info(
    {
      event: 'request.refused',
      attemptId: caller.attemptId,
      refusal,
      ...rounded(state.basis),
      ...state.bound,
      siteVersion: gateway.view?.index?.site.version,
      ageMs: Math.round(state.ageMs),
      tried: [...state.tried],
    },
    refusal.kind
  );
  if (res.headersSent || res.destroyed) return;
  res.writeHead(answer.status, {
    ...answer.headers,
    'content-length': Buffer.byteLength(answer.body),
  });
  res.end(answer.body);
}
