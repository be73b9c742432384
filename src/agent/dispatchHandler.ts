/** Handles the dispatches that entries send to the agent's internal port. */

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

/** Creates the handler for requests on the internal port that are not RPCs. */
export function dispatchHandler(
  core: AgentCore
): (req: IncomingMessage, res: ServerResponse) => void {
  return (req, res) => {
    handle(core, req, res).catch((err: unknown) => {
      core.logger.error(
        {err: String(err)},
        'unexpected error while serving a dispatch; its connection is closed'
      );
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
    sendRefusal(core, res, err.refusal);
  }
}

/** Refuses another protocol version, whose fields may have another meaning. */
function assertProtocolVersion(core: AgentCore, req: IncomingMessage): void {
  const entryVersion = String(req.headers[PROTOCOL_HEADER]);
  if (entryVersion === PROTOCOL_VERSION) return;
  core.metrics.count('peer.rejected', {reason: 'version'});
  core.logger.warn(
    {theirs: entryVersion},
    `refused a dispatch in protocol version ${entryVersion}; this agent has ${PROTOCOL_VERSION}`
  );
  throw refuse(
    'peer-version',
    'gate',
    core.targetId,
    `version ${entryVersion}, here ${PROTOCOL_VERSION}`
  );
}

function parseDispatch(core: AgentCore, req: IncomingMessage): Dispatch {
  assertProtocolVersion(core, req);
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

function sendRefusal(
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
