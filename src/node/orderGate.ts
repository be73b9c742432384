/**
 * Takes orders that carry no version of their own. Such an order may have waited, in a
 * frozen process or on a connection, while its sender gave up and repeated it at another
 * node; carried out late, it would undo what was ordered since.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ClusterNode} from '../cluster/clusterNode';
import type {ClusterView} from '../cluster/clusterView';
import type {SuspensionWatch} from './suspensionWatch';

/** An order that was read. */
export interface TakenOrder {
  /** What this node knew of the cluster when it read the order. */
  readonly view: ClusterView;
  /** Whether its sender still waits for the reply. */
  isAwaited(): boolean;
}

/** Takes orders as soon as their heads are read. */
export class OrderGate {
  constructor(
    private readonly node: Pick<ClusterNode, 'view'>,
    private readonly suspension: Pick<SuspensionWatch, 'mayHaveBacklog'>
  ) {}

  /**
   * Undefined if the order may have waited here, or if this node knows nothing yet that
   * the order could refer to.
   */
  take(req: IncomingMessage, res: ServerResponse): TakenOrder | undefined {
    const {view} = this.node;
    if (this.suspension.mayHaveBacklog || view.grantedAtMs === undefined)
      return undefined;
    const {socket} = req;
    const isAwaited = () =>
      !res.destroyed && !socket.destroyed && !socket.readableEnded;
    return {view, isAwaited};
  }
}
