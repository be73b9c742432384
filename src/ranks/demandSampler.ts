/** Reads the counts of a sample of ranks. */

import type {Logger} from '../core/logger';
import type {OrderScope, RankCodec} from '../ports/rankPort';
import type {Located} from '../policy/relayPlan';
import type {EngineProfile} from '../site/site';
import type {RankCounts} from './expertDemand';
import type {RankCaller} from './rankCaller';
import {isOk} from './rankClient';

/**
 * Ranks of a sample. One rank's few requests differ from all; more ranks tell
 * more, and hold the group up longer.
 */
const MIN_RANKS = 3;
const MAX_RANK_RATIO = 1 / 8;
const MAX_HOLD_MS = 20;

/** What a sampler reads, and how. */
export interface SamplerParts {
  readonly name: string;
  readonly engine: EngineProfile;
  readonly scope: OrderScope;
  readonly ranks: readonly (Located & {readonly id: string})[];
  readonly codec: RankCodec;
  readonly caller: RankCaller;
  readonly logger: Logger;
}

/** The sample of one group. */
export class DemandSampler {
  /** Where the sample begins. */
  private first = 0;
  private readonly size: number;

  constructor(private readonly parts: SamplerParts) {
    const {ranks, engine} = parts;
    this.size = sampleSize(ranks.length, engine.countsHoldMs);
  }

  /** Time for which one reading holds the group up, milliseconds. */
  get holdMs(): number {
    return this.size * this.parts.engine.countsHoldMs;
  }

  /** Goes on to other ranks. */
  moveOn(): void {
    this.first++;
  }

  /** Counts of the ranks of the sample that answered. */
  async read(): Promise<readonly RankCounts[]> {
    const {ranks} = this.parts;
    const stride = Math.floor(ranks.length / this.size) + 1;
    const indexes = Array.from(
      {length: this.size},
      (_, i) => (this.first + i * stride) % ranks.length
    );
    const readings = await Promise.all(
      [...new Set(indexes)].map(index => this.readRank(index))
    );
    return readings.flatMap(reading => reading ?? []);
  }

  private async readRank(index: number): Promise<RankCounts | undefined> {
    const {ranks, codec, caller, logger, scope, name} = this.parts;
    const rank = ranks[index];
    if (rank === undefined) return undefined;
    const answer = await caller.call(rank, 'counts', codec.countsCall());
    const counts = isOk(answer) ? codec.readCounts(answer.text) : undefined;
    if (counts !== undefined && counts.epoch === scope.epoch)
      return {rankId: rank.id, counts};
    logger.info(
      {event: 'map.unread', group: name, rank: rank.id},
      'counts not read'
    );
    return undefined;
  }
}

function sampleSize(ranks: number, holdMs: number): number {
  const affordable = Math.floor(MAX_HOLD_MS / Math.max(holdMs, 1e-3));
  const most = Math.min(affordable, Math.round(ranks * MAX_RANK_RATIO));
  return Math.min(ranks, Math.max(MIN_RANKS, most));
}
