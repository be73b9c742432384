/** Reads the expert counts of a sample of the ranks of a group. */

import type {Logger} from '../core/logger';
import type {OrderScope, RankCodec} from '../ports/rankPort';
import type {ZonedAddress} from '../policy/relayPlan';
import type {EngineProfile} from '../site/site';
import type {RankCounts} from './expertDemand';
import type {RankTransport} from './rankTransport';
import {isOk} from './rankClient';

/**
 * Sample size. The few requests of one rank are not representative of the
 * group. More ranks are, but reading their counts holds up the group for
 * longer.
 */
const MIN_SAMPLE_RANKS = 3;
const MAX_SAMPLE_RATIO = 1 / 8;
/**
 * Part of the accepted pause for which a reading may hold up the group. Readings
 * come in the slow passes after a demand shift, which have little time left.
 */
const MAX_READ_PAUSE_RATIO = 0.05;
/** The same for a group whose callers state no accepted pause. */
const MAX_READ_HOLD_MS = 20;

/** Dependencies of a sampler. */
export interface SamplerParts {
  readonly name: string;
  readonly engine: EngineProfile;
  readonly scope: OrderScope;
  readonly ranks: readonly (ZonedAddress & {readonly id: string})[];
  readonly codec: RankCodec;
  readonly transport: RankTransport;
  readonly logger: Logger;
  /** Longest pause that callers accept, milliseconds; 0 when not given. */
  readonly acceptedPauseMs: number;
  /** Whether calls to the rank should be avoided, since it asked for less load. */
  isRestricted(rankId: string): boolean;
}

/** Chooses and reads the sample of one group. */
export class DemandSampler {
  /** Index of the first rank of the sample. */
  private firstRank = 0;
  private readonly size: number;

  constructor(private readonly parts: SamplerParts) {
    const {ranks, engine, acceptedPauseMs} = parts;
    const maxHoldMs =
      acceptedPauseMs === 0
        ? MAX_READ_HOLD_MS
        : acceptedPauseMs * MAX_READ_PAUSE_RATIO;
    this.size = sampleSize(ranks.length, engine.countsHoldMs, maxHoldMs);
  }

  /** Time for which one reading holds the group up, milliseconds. */
  get holdMs(): number {
    return this.size * this.parts.engine.countsHoldMs;
  }

  /** Moves the sample to other ranks. */
  moveToNextRanks(): void {
    this.firstRank++;
  }

  /** Counts of the sampled ranks that responded. */
  async read(): Promise<readonly RankCounts[]> {
    const {ranks} = this.parts;
    const stride = Math.floor(ranks.length / this.size) + 1;
    const indexes = Array.from({length: this.size}, (_, i) =>
      this.nextUnrestricted(this.firstRank + i * stride)
    );
    const readings = await Promise.all(
      [...new Set(indexes)].map(index => this.readRank(index))
    );
    return readings.flatMap(reading => reading ?? []);
  }

  /** The rank at this place, or the next one that is not restricted. */
  private nextUnrestricted(place: number): number {
    const {ranks, isRestricted} = this.parts;
    for (let step = 0; step < ranks.length; step++) {
      const index = (place + step) % ranks.length;
      if (!isRestricted(ranks[index]?.id ?? '')) return index;
    }
    return place % ranks.length;
  }

  private async readRank(index: number): Promise<RankCounts | undefined> {
    const {ranks, codec, transport, logger, scope, name} = this.parts;
    const rank = ranks[index];
    if (rank === undefined) return undefined;
    const answer = await transport.call(rank, 'counts', codec.countsCall());
    const counts = isOk(answer) ? codec.readCounts(answer.text) : undefined;
    if (counts !== undefined && counts.epoch === scope.epoch)
      return {rankId: rank.id, counts};
    logger.info(
      {event: 'map.unread', group: name, rank: rank.id},
      `expert counts of rank ${rank.id} could not be read`
    );
    return undefined;
  }
}

function sampleSize(
  ranks: number,
  holdMsPerRank: number,
  maxHoldMs: number
): number {
  const maxByHold = Math.floor(maxHoldMs / Math.max(holdMsPerRank, 1e-3));
  const maxRanks = Math.min(maxByHold, Math.round(ranks * MAX_SAMPLE_RATIO));
  return Math.min(ranks, Math.max(MIN_SAMPLE_RANKS, maxRanks));
}
