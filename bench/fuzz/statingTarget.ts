/** A simulated target that states limits in its responses, and counts what it gets. */

import type {TargetNotice} from '../../src/site/targetNotice';

/** What a target states from a moment on. */
export interface Statement {
  readonly fromMs: number;
  /** Absent when it states no limit. */
  readonly rateLimit?: number;
}

/** One request that reached the target. */
export interface Arrival {
  readonly atMs: number;
  readonly node: string;
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

  /** What a response that is generated now states. */
  noticeAt(nowMs: number): TargetNotice {
    const {rateLimit} = this.statementAt(nowMs);
    return {rateLimit, invalidHeaders: []};
  }

  /** The statement in force. */
  statementAt(nowMs: number): Statement {
    const past = this.statements.filter(({fromMs}) => fromMs <= nowMs);
    return past.at(-1) ?? {fromMs: -Infinity};
  }
}
