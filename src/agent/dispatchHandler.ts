/** Takes dispatches of entries at the wire and brings them to the target. */

import {IncomingMessage, ServerResponse} from 'node:http';
import * as z from 'zod';
import {headerJson} from '../core/headerJson';
import {PROTOCOL_VERSION} from '../core/protocolVersion';
import {Refusal, RefusalError, refuse} from '../core/refusal';
import {DISPATCH_HEADER, Dispatch, REPORT_HEADER} from '../core/wire';
import {sendJson} from '../core/sendJson';
import {PROTOCOL_HEADER} from '../rpc/peerServer';
import type {AgentCore} from './agentCore';
import {serveDispatch} from './serveDispatch';

const dispatchSchema: z.ZodType<Dispatch> = z.object({
  requestId: z.string(),
  entryId: z.string(),
  customer: z.string(),
  pool: z.string(),
  revision: z.number(),
  remainingMs: z.number(),
  attempt: z.number(),
  cost: z.number().positive(),
  idempotent: z.boolean(),
  agentBootId: z.string(),
  claim: z.object({key: z.string(), attempt: z.number()}).optional(),
  resumeFrom: z.number().optional(),
  stream: z.boolean().optional(),
  priority: z.number(),
});

const HTTP_UNAVAILABLE = 503;

/** The handler for everything that is no RPC on the agent's internal port. */
export function dispatchHandler(
  core: AgentCore
): (req: IncomingMessage, res: ServerResponse) => void {
  return (req, res) => {
    handle(core, req, res).catch((err: unknown) => {
      core.logger.error({err: String(err)}, 'dispatch failed');
      res.destroy();
    });
  };
}

async function handle(
  core: AgentCore,
  req: IncomingMessage,
  res: ServerResponse
): Promise<void> {
  let requestId: string | undefined;
  try {
    const dispatch = parseDispatch(core, req);
    requestId = dispatch.requestId;
    await serveDispatch(core, dispatch, req, res);
  } catch (err) {
    if (!(err instanceof RefusalError)) throw err;
    core.logger.info({requestId, refusal: err.refusal}, 'refused');
    answerRefusal(core, res, err.refusal);
  }
}

/** Fields may mean something else in another version: nothing is guessed. */
function assertVersion(core: AgentCore, req: IncomingMessage): void {
  const theirs = String(req.headers[PROTOCOL_HEADER]);
  if (theirs === PROTOCOL_VERSION) return;
  core.metrics.count('peer.rejected', {reason: 'version'});
  core.logger.warn({theirs}, 'dispatch in another protocol version');
  throw refuse(
    'peer-version',
    'gate',
    core.targetId,
    `version ${theirs}, here ${PROTOCOL_VERSION}`
  );
}

function parseDispatch(core: AgentCore, req: IncomingMessage): Dispatch {
  assertVersion(core, req);
  const header = req.headers[DISPATCH_HEADER];
  try {
    return dispatchSchema.parse(JSON.parse(String(header)));
  } catch (err) {
    core.metrics.count('peer.rejected', {reason: 'invalid'});
    throw refuse(
      'malformed-request',
      'gate',
      core.targetId,
      `bad dispatch header: ${String(err)}`
    );
  }
}

function answerRefusal(
  core: AgentCore,
  res: ServerResponse,
  refusal: Refusal
): void {
  const {reason, step} = refusal;
  core.metrics.count('request.refused', {reason, step});
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const report = headerJson({...core.report(0), refusal});
  sendJson(res, HTTP_UNAVAILABLE, {refusal}, {[REPORT_HEADER]: report});
}
