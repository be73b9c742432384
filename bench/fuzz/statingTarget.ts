/** A simulated target that states limits in its responses, and records what it gets. */

import type {TargetNotice} from '../../src/site/targetNotice';

/** What a target states from a moment on. */
export interface Statement {
  readonly fromMs: number;
  /** Absent when it states no limit. */
  readonly rateLimit?: number;
  /** Turns all requests away and asks for this rest; absent when it serves. */
  readonly restMs?: number;
  /** Whether it states that it leaves, and serves on. */
  readonly isLeaving?: boolean;
}

/** One request that reached the target. */
export interface Arrival {
  readonly atMs: number;
  readonly node: string;
  /** The rest that the response asked for. */
  readonly restMs?: number;
  /** Whether the response stated that the target leaves. */
  readonly isLeaving: boolean;
}

/** One boot of a target. */
export class StatingTarget {
  readonly arrivals: Arrival[] = [];

  constructor(
    readonly id: string,
    readonly bornMs: number,
    readonly address: string,
    /** In the order of time. */
    readonly statements: readonly Statement[]
  ) {}

  /** Takes a request; returns what the response states. */
  handle(node: string, nowMs: number): TargetNotice {
    const {rateLimit, restMs, isLeaving = false} = this.statementAt(nowMs);
    this.arrivals.push({atMs: nowMs, node, restMs, isLeaving});
    return {rateLimit, restMs, isLeaving, invalidHeaders: []};
  }

  private statementAt(nowMs: number): Statement {
    const past = this.statements.filter(({fromMs}) => fromMs <= nowMs);
    return past.at(-1) ?? {fromMs: -Infinity};
  }
}
