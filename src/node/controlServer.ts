/** HTTP server of the control address: targets announce, operators configure. */

import http from 'node:http';
import {unreachable} from '../core/errors';
import type {Logger} from '../core/logger';
import {readBody} from '../core/readBody';
import type {Inbound} from '../inbound/inbound';
import type {ClusterNode} from '../cluster/clusterNode';
import type {QuarantineList} from '../cluster/quarantineMessages';
import type {ControlCall, ControlCodec} from '../ports/controlPort';
import {MAX_ZONES, NO_ZONE_REVISION} from '../control/state/siteState';
import type {TargetRecord} from '../site/announcement';
import {MAX_TARGETS, bornProblem} from '../site/announcement';
import {MAX_PACKED_CHARS, packText} from '../site/packText';
import {OrderGate} from './orderGate';
import type {TakenOrder} from './orderGate';
import {SuspensionWatch} from './suspensionWatch';

/** Room for a site document with more than twenty thousand routes. */
const MAX_DOCUMENT_BYTES = 8 << 20;
/** Check-ins are far smaller; the other calls have no body. */
const MAX_BODY_BYTES = 64 << 10;
/** Operators and targets repeat a call sooner. */
const BODY_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1_000;
/** Targets announce themselves more often than this and keep their connection. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000;

interface Reply {
  readonly status: number;
  readonly body?: string;
}

const OK: Reply = {status: 200, body: '{}'};
/** The order may have waited while a later one was carried out. */
const OUTDATED: Reply = {
  status: 503,
  body: '{"error":"may be outdated; send it again"}',
};
const UNAVAILABLE: Reply = {status: 503, body: '{"error":"no leader"}'};

/** Dependencies of the control server. */
export interface ControlServerParts {
  readonly node: ClusterNode;
  readonly codec: ControlCodec;
  readonly inbound: Inbound;
  readonly logger: Logger;
}

/** Handles calls at the control address. */
export class ControlServer {
  private readonly server = http.createServer({
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
  });

  private readonly suspension = new SuspensionWatch();
  private readonly gate: OrderGate;

  constructor(private readonly parts: ControlServerParts) {
    this.gate = new OrderGate(parts.node, this.suspension);
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.server.headersTimeout = BODY_TIMEOUT_MS;
    const handler = (req: http.IncomingMessage, res: http.ServerResponse) =>
      void this.answer(req, res);
    this.gate.attach(this.server);
    parts.inbound.guard('control', handler).attach(this.server);
  }

  listen({host, port}: {host: string; port: number}): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close(): void {
    this.suspension.close();
    this.server.close();
    this.server.closeIdleConnections();
  }

  private async answer(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    const {codec, logger} = this.parts;
    const call = codec.readCall(req.method ?? '', req.url ?? '');
    const order = this.gate.take(req, res);
    try {
      const {status, body = ''} =
        call === undefined
          ? NOT_FOUND
          : await this.readAndHandle(req, call, order);
      if (status !== OK.status)
        logger.warn(
          {event: 'control.refused', call: loggable(call), status, body},
          body
        );
      res.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      });
      res.end(body);
    } catch (err) {
      logger.warn(
        {event: 'control.failed', call: loggable(call), err: String(err)},
        'control call failed'
      );
      res.destroy();
    }
  }

  private async readAndHandle(
    req: http.IncomingMessage,
    call: ControlCall,
    order: TakenOrder | undefined
  ): Promise<Reply> {
    const room = this.parts.inbound.memory.open('operators');
    const maxBytes =
      call.kind === 'putSite' ? MAX_DOCUMENT_BYTES : MAX_BODY_BYTES;
    try {
      const read = await readBody(req, {
        maxBytes,
        timeoutMs: BODY_TIMEOUT_MS,
        room,
      });
      if (read.kind === 'tooLarge')
        return tooLarge(
          `the body is too large; the limit is ${maxBytes} bytes`
        );
      if (read.kind !== 'whole') return UNREAD_REPLIES[read.kind];
      return await this.handle(call, read.body.toString('utf8'), order);
    } finally {
      room.release();
    }
  }

  private async handle(
    call: ControlCall,
    text: string,
    order: TakenOrder | undefined
  ): Promise<Reply> {
    switch (call.kind) {
      case 'announce':
        return this.announce(call.id, text);
      case 'leave':
        return order === undefined ? OUTDATED : this.leave(call.id, order);
      case 'putSite':
        return this.putSite(text);
      case 'getSite':
        return this.getSite();
      case 'listQuarantine':
        return this.listQuarantine();
      case 'changeQuarantine':
        return this.changeQuarantine(call, order);
      case 'liftRequest':
        return this.liftRequest(call, order);
      case 'zone':
        return this.changeZone(call, order);
      default:
        return unreachable(call);
    }
  }

  /**
   * A draining target is confirmed only after the leader and the log have that. From
   * then on no node may send to the target, and only the leader reaches all nodes.
   */
  private async announce(id: string, text: string): Promise<Reply> {
    const {node, codec} = this.parts;
    const decoded = codec.decodeAnnouncement(id, text);
    if (!decoded.ok)
      return {status: 400, body: JSON.stringify({error: decoded.problem})};
    const {announcement} = decoded;
    const problem = bornProblem(announcement, Date.now());
    if (problem !== undefined)
      return {status: 400, body: JSON.stringify({error: problem})};
    if (!node.table.makeRoomFor(id)) return TOO_MANY_TARGETS;
    node.handleAnnouncement(announcement);
    const {state} = announcement;
    return state === 'draining'
      ? this.recordDeparture(announcement, state)
      : OK;
  }

  /** The order names no boot of the target: it is meant for one that its sender knew. */
  private async leave(id: string, order: TakenOrder): Promise<Reply> {
    const {table} = this.parts.node;
    if (table.find(id) === undefined) {
      // It may have announced itself to another node just before.
      const reported = await this.reportToLeader();
      if (reported !== OK) return reported;
    }
    const boot = table.find(id);
    if (boot === undefined) return UNKNOWN_TARGET;
    return table.canLeave(id, order.basis.atMs, performance.now())
      ? this.recordDeparture(boot, 'gone')
      : OUTDATED;
  }

  private async recordDeparture(
    boot: TargetRecord,
    state: 'draining' | 'gone'
  ): Promise<Reply> {
    try {
      await this.parts.node.recordDeparture(boot, state);
      return OK;
    } catch (err) {
      const detail = String(err);
      this.parts.logger.warn({event: 'report.failed', err: detail}, detail);
      return UNAVAILABLE;
    }
  }

  private async reportToLeader(): Promise<Reply> {
    try {
      await this.parts.node.report();
      return OK;
    } catch (err) {
      const detail = String(err);
      this.parts.logger.warn({event: 'report.failed', err: detail}, detail);
      return UNAVAILABLE;
    }
  }

  private async putSite(text: string): Promise<Reply> {
    const {codec} = this.parts;
    const decoded = codec.decodeSite(text);
    if (!decoded.ok)
      return {status: 400, body: JSON.stringify({error: decoded.problem})};
    const {version} = decoded.site;
    const packed = packText(text);
    return packed.length > MAX_PACKED_CHARS
      ? tooLarge(
          `the document takes ${packed.length} bytes packed; the limit is ${MAX_PACKED_CHARS} bytes packed`
        )
      : this.propose({kind: 'site', version, packed});
  }

  private async propose(
    command: Parameters<ClusterNode['propose']>[0]
  ): Promise<Reply> {
    try {
      const end = await this.parts.node.propose(command);
      return end === 'outdated' ? OUTDATED : OK;
    } catch (err) {
      const detail = String(err);
      this.parts.logger.warn({event: 'propose.failed', err: detail}, detail);
      return UNAVAILABLE;
    }
  }

  private async changeZone(
    {availabilityZone, out}: Extract<ControlCall, {kind: 'zone'}>,
    order: TakenOrder | undefined
  ): Promise<Reply> {
    const rejection = await this.rejectOutdated(order);
    if (rejection !== undefined) return rejection;
    const {zonesOut} = this.parts.node.view;
    if (out && zonesOut.size >= MAX_ZONES && !zonesOut.has(availabilityZone))
      return TOO_MANY_ZONES;
    const zoneRevisions = order?.basis.zoneRevisions;
    // A leader of an older version states no revisions.
    const seenRevision =
      zoneRevisions && (zoneRevisions[availabilityZone] ?? NO_ZONE_REVISION);
    return this.propose({kind: 'zone', availabilityZone, out, seenRevision});
  }

  /** Undefined for an order that may be carried out now. */
  private async rejectOutdated(
    order: TakenOrder | undefined
  ): Promise<Reply | undefined> {
    if (order === undefined) return OUTDATED;
    const reported = await this.reportToLeader();
    if (reported !== OK) return reported;
    return (await order.isAwaited()) ? undefined : OUTDATED;
  }

  private async liftRequest(
    {digest}: Extract<ControlCall, {kind: 'liftRequest'}>,
    order: TakenOrder | undefined
  ): Promise<Reply> {
    const rejection = await this.rejectOutdated(order);
    if (rejection !== undefined) return rejection;
    const {crashedRequests} = this.parts.node;
    // Its sender did not know of these crashes.
    if (crashedRequests.hasCrashedSince(digest, order?.basis.atMs ?? 0))
      return OUTDATED;
    return (await crashedRequests.lift(digest)) ? OK : UNKNOWN_REQUEST;
  }

  private listQuarantine(): Reply {
    const {quarantine, crashedRequests} = this.parts.node;
    const list: QuarantineList = {
      ...quarantine.list(performance.now()),
      requests: [...crashedRequests.list()],
    };
    return {status: 200, body: `${JSON.stringify(list)}\n`};
  }

  private async changeQuarantine(
    {change, service, part}: Extract<ControlCall, {kind: 'changeQuarantine'}>,
    order: TakenOrder | undefined
  ): Promise<Reply> {
    const rejection = await this.rejectOutdated(order);
    if (rejection !== undefined) return rejection;
    const {node, logger} = this.parts;
    if (node.site?.services.has(service) !== true) return UNKNOWN_SERVICE;
    const seenChange = order?.basis.quarantineChange;
    try {
      const isDone = await node.changeQuarantine({
        kind: change,
        service,
        part,
        seenChange,
      });
      return isDone ? OK : OUTDATED;
    } catch (err) {
      const detail = String(err);
      logger.warn({event: 'quarantine.failed', err: detail}, detail);
      return UNAVAILABLE;
    }
  }

  private async getSite(): Promise<Reply> {
    try {
      const {text} = await this.parts.node.readSite();
      return text === '' ? UNAVAILABLE : {status: 200, body: text};
    } catch (err) {
      const detail = String(err);
      this.parts.logger.warn({event: 'read.failed', err: detail}, detail);
      return UNAVAILABLE;
    }
  }
}

/** Leaves out the part of prompts, which no log line names. */
function loggable(call: ControlCall | undefined): object | undefined {
  if (call?.kind !== 'changeQuarantine') return call;
  const {kind, change, service} = call;
  return {kind, change, service};
}

const TOO_MANY_ZONES: Reply = {
  status: 400,
  body: `{"error":"too many zones are out; the limit is ${MAX_ZONES}"}`,
};
const TOO_MANY_TARGETS: Reply = {
  status: 503,
  body: `{"error":"too many targets; the limit is ${MAX_TARGETS}"}`,
};
const UNKNOWN_TARGET: Reply = {
  status: 404,
  body: '{"error":"no such target"}',
};
const UNKNOWN_REQUEST: Reply = {
  status: 404,
  body: '{"error":"no target crashed under such a request"}',
};
const UNKNOWN_SERVICE: Reply = {
  status: 404,
  body: '{"error":"no such service"}',
};
function tooLarge(problem: string): Reply {
  return {status: 413, body: JSON.stringify({error: problem})};
}

/** Replies to calls whose bodies were not read to the end. */
const UNREAD_REPLIES = {
  noRoom: {status: 503, body: '{"error":"no memory is free for the body"}'},
  stopped: {status: 408, body: '{"error":"the body did not end in time"}'},
  cut: {status: 400, body: '{"error":"the body broke off"}'},
} as const satisfies Readonly<Record<string, Reply>>;
const NOT_FOUND: Reply = {status: 404, body: '{"error":"no such call"}'};
