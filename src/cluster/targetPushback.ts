/** What targets state about themselves in their responses, as this node knows it. */

import type {IncomingMessage} from 'node:http';
import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {TargetRecord} from '../site/announcement';
import type {TargetNotice} from '../site/targetNotice';
import type {TargetTable} from './targetTable';

/** One boot of a target; its statements do not apply to the next one. */
export type TargetBoot = Pick<TargetRecord, 'id' | 'bornMs'>;

/** Dependencies of the pushback of targets. */
export interface TargetPushbackParts {
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  /** Undefined for a response of another target. */
  readNotice(res: IncomingMessage): TargetNotice | undefined;
}

interface StatedLimit {
  readonly bornMs: number;
  readonly perSecond: number;
}

/** Statements of targets by id. */
export class TargetPushback {
  private readonly limits = new Map<string, StatedLimit>();
  private readonly loggedInvalid = new Set<string>();

  constructor(
    private readonly table: TargetTable,
    private readonly parts: TargetPushbackParts
  ) {}

  /** Notes what the response of a target states. */
  noteResponse(target: TargetBoot, res: IncomingMessage): void {
    const notice = this.parts.readNotice(res);
    if (notice === undefined) return;
    for (const header of notice.invalidHeaders) this.logInvalid(target, header);
    if (notice.invalidHeaders.length === 0)
      this.noteLimit(target, notice.rateLimit);
  }

  /** Counts a call to a target, if the target states a limit. */
  countCall({id, bornMs}: TargetBoot, kind: string): void {
    if (this.limits.get(id)?.bornMs === bornMs)
      this.parts.metrics.limitedTargetCalled(kind);
  }

  /** As `noteResponse`, for a rank that is known by its address. */
  noteRankResponse(address: string, res: IncomingMessage): void {
    const target = this.table.findByAddress(address);
    if (target !== undefined) this.noteResponse(target, res);
  }

  /** As `countCall`, for a rank that is known by its address. */
  countRankCall(address: string, kind: string): void {
    const target = this.table.findByAddress(address);
    if (target !== undefined) this.countCall(target, kind);
  }

  /** Evicts the statements of targets that are not in `records`. */
  retain(records: readonly TargetBoot[]): void {
    const bornById = new Map(records.map(({id, bornMs}) => [id, bornMs]));
    for (const [id, {bornMs}] of this.limits)
      if (bornById.get(id) !== bornMs) this.limits.delete(id);
    for (const id of this.loggedInvalid)
      if (!bornById.has(id)) this.loggedInvalid.delete(id);
  }

  private noteLimit(
    {id, bornMs}: TargetBoot,
    perSecond: number | undefined
  ): void {
    const known = this.limits.get(id);
    const before = known?.bornMs === bornMs ? known.perSecond : undefined;
    if (before === perSecond) return;
    if (perSecond === undefined) this.limits.delete(id);
    else this.limits.set(id, {bornMs, perSecond});
    this.parts.logger.info(
      {event: 'target.limit', target: id, bornMs, perSecond, before},
      perSecond === undefined
        ? `target ${id} states no rate limit any more`
        : `target ${id} states a limit of ${perSecond} requests per second`
    );
  }

  private logInvalid({id}: TargetBoot, header: string): void {
    const {logger, metrics} = this.parts;
    metrics.invalidHeader(header);
    if (this.loggedInvalid.has(id)) return;
    this.loggedInvalid.add(id);
    logger.warn(
      {event: 'target.malformed', target: id, header},
      `ignored an invalid ${header} header of target ${id}`
    );
  }
}
