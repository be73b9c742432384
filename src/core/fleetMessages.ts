/** Orders to targets to hold another model, between control and agents. */

/** Controller to agent; sent again until it is known how it ended. */
export interface ModelOrder {
  /** Grows with every leader that gives orders. */
  readonly fence: number;
  /** Identifies the recorded order; stays when a later leader takes it over. */
  readonly id: number;
  readonly model: string;
  readonly modelVersion: string;
}

/** What an agent knows of an order. */
export type ModelOrderAnswer =
  | {readonly kind: 'changing'}
  /** The target is ready with the model and version. */
  | {readonly kind: 'done'}
  /** The target holds what it held. */
  | {readonly kind: 'failed'; readonly detail: string}
  | {readonly kind: 'fenced'; readonly highestFence: number};

/** Agent to the leader, before it lets an order through to the target. */
export interface OrderCheck {
  readonly targetId: string;
}

/** Quorum-backed. */
export interface OrderCheckAnswer {
  readonly fence: number;
  /** The order that the target is under; any other one is over. */
  readonly openId?: number;
}
