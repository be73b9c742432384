/**
 * Takes orders that carry no version of their own. Such an order may have waited, in a
 * frozen process or on a connection, while its sender gave up and repeated it at another
 * node; carried out late, it would undo what was ordered since. The time at which its
 * bytes arrive tells nothing about that, nor does an end of the connection that may be
 * late as well. But its sender had not given up when the connection was opened, or when
 * it was sent the response before: an order is compared with what was known then.
 */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import type {ClusterNode} from '../cluster/clusterNode';
import type {ZoneRevisions} from '../control/state/siteState';
import type {SuspensionWatch} from './suspensionWatch';

/** What this node knew before an order was sent. */
export interface OrderBasis {
  /** The order was sent at this time or later. */
  readonly atMs: number;
  /** Undefined from a leader of an older version, which states none. */
  readonly zoneRevisions: ZoneRevisions | undefined;
  /** Last change of the quarantine; see `QUARANTINE_STATE`. */
  readonly quarantineChange: string | undefined;
}

/** An order that was read. */
export interface TakenOrder {
  readonly basis: OrderBasis;
  /** Whether its sender still waits for the reply, as far as this node has read. */
  isAwaited(): Promise<boolean>;
}

/** A connection at the control address. */
interface Sender {
  /** Responses that are due. */
  pending: number;
  /** Undefined before this node knows anything that an order could refer to. */
  basis: OrderBasis | undefined;
}

/** Takes the orders of all connections of a server. */
export class OrderGate {
  private readonly senders = new WeakMap<Socket, Sender>();
  private readonly bases = new WeakMap<IncomingMessage, OrderBasis>();

  constructor(
    private readonly node: Pick<ClusterNode, 'view' | 'quarantine'>,
    private readonly suspension: Pick<SuspensionWatch, 'mayHaveBacklog'>
  ) {}

  /** Notes the connections and requests of a server, before any other handler. */
  attach(server: Server): void {
    server.on('connection', (socket: Socket) =>
      this.senders.set(socket, {pending: 0, basis: this.currentBasis()})
    );
    server.on('request', (req, res) => this.noteRequest(req, res));
  }

  /** Undefined if the order may have waited here, or came before this node's state. */
  take(req: IncomingMessage, res: ServerResponse): TakenOrder | undefined {
    const basis = this.bases.get(req);
    if (this.suspension.mayHaveBacklog || basis === undefined) return undefined;
    const {socket} = req;
    const isAwaited = async () => {
      // An end that arrived together with the order is read by the next poll.
      for (let poll = 0; poll < 2; poll++) await setImmediate();
      return !res.destroyed && !socket.destroyed && !socket.readableEnded;
    };
    return {basis, isAwaited};
  }

  private noteRequest(req: IncomingMessage, res: ServerResponse): void {
    const sender = this.senders.get(req.socket);
    if (sender === undefined) return;
    if (sender.basis !== undefined) this.bases.set(req, sender.basis);
    sender.pending++;
    res.once('finish', () => {
      // What was sent before an earlier response keeps the basis of that one.
      if (--sender.pending === 0) sender.basis = this.currentBasis();
    });
  }

  private currentBasis(): OrderBasis | undefined {
    const {view, quarantine} = this.node;
    if (view.grantedAtMs === undefined) return undefined;
    return {
      atMs: performance.now(),
      zoneRevisions: view.zoneRevisions,
      quarantineChange: quarantine.lastChange,
    };
  }
}
