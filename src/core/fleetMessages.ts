/**
 * Messages between control and agents that make a target load another model.
 */

/** Controller to agent; sent repeatedly until its outcome is known. */
export interface ModelOrder {
  /** Fencing token; grows with every leader that sends orders. */
  readonly fence: number;
  /**
   * Identifies the logged order; unchanged when a later leader takes it over.
   */
  readonly id: number;
  readonly model: string;
  readonly modelVersion: string;
}

/** State of an order at its agent. */
export type ModelOrderAnswer =
  /** An order is in progress, this one or an earlier one. */
  | {readonly kind: 'changing'}
  /** The target is ready with the model and version. */
  | {readonly kind: 'done'}
  /** The change failed; the target still holds its previous model. */
  | {readonly kind: 'failed'; readonly detail: string}
  | {readonly kind: 'fenced'; readonly highestFence: number};

/** Agent to leader, before the agent passes an order on to the target. */
export interface OrderCheck {
  readonly targetId: string;
}

/** Reply to an OrderCheck, confirmed by a quorum. */
export interface OrderCheckAnswer {
  readonly fence: number;
  /** The target's open order, if any; every other order has ended. */
  readonly openId?: number;
}
