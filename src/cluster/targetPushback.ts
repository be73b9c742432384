/**
 * What targets ask for in their responses, as this node knows it. Every response of
 * a target or a rank is read here, and whatever sends to targets asks here first.
 */

import type {IncomingMessage} from 'node:http';
import {Subject} from 'rxjs';
import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {TargetRecord} from '../site/announcement';
import type {TargetNotice} from '../site/targetNotice';
import type {LimitReport, SyncState} from './messages';
import type {NodeIds, TargetBoot} from './nodeRateLimits';
import {NodeRateLimits} from './nodeRateLimits';
import {TargetDepartures} from './targetDepartures';
import {TargetRests} from './targetRests';
import type {TargetTable} from './targetTable';

/** Dependencies of the pushback of targets. */
export interface TargetPushbackParts {
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  /** Undefined for a response of another target. */
  readNotice(res: IncomingMessage): TargetNotice | undefined;
  nodeIds(): NodeIds;
}

/** A response, and when its request was sent. */
export interface TimedResponse {
  readonly res: IncomingMessage;
  readonly sentAtMs: number;
}

interface StatedValue {
  readonly bornMs: number;
  readonly perSecond: number | undefined;
}

/** What targets ask for, by target id. */
export class TargetPushback {
  /** Emits with each reply of the leader, which may bring tokens. */
  readonly replies$ = new Subject<void>();
  private readonly limits: NodeRateLimits;
  private readonly rests = new TargetRests();
  private readonly departures = new TargetDepartures();
  /** Limits in the latest responses, for the log. */
  private readonly stated = new Map<string, StatedValue>();
  private readonly loggedInvalid = new Set<string>();

  constructor(
    private readonly table: TargetTable,
    private readonly parts: TargetPushbackParts
  ) {
    this.limits = new NodeRateLimits(table, () => parts.nodeIds());
  }

  /** Time until a request may be sent to a target that asked for a rest; 0 if now. */
  restMs(target: TargetBoot, nowMs: number): number {
    return this.rests.blockedMs(target, nowMs);
  }

  /** Whether any target asked this node for rest. */
  get hasRests(): boolean {
    return !this.rests.isEmpty;
  }

  /** Whether the target leaves, so that nothing more may be sent to it. */
  isLeaving(target: TargetBoot): boolean {
    return this.departures.has(target);
  }

  /** Ids of the targets that want nothing from this node now. */
  closedIds(nowMs: number): readonly string[] {
    return [...this.rests.ids(nowMs), ...this.departures.ids()];
  }

  /** Whether the rate limit of the target, if any, allows a request now. */
  hasToken(target: TargetBoot, nowMs: number): boolean {
    return this.limits.allows(target, nowMs);
  }

  /** Notes a request that no target can take, and this one only with a token. */
  noteShortage(target: TargetBoot): void {
    this.limits.noteShortage(target);
  }

  /** Counts a request that is sent to the target. */
  noteRequest(target: TargetBoot, nowMs: number): void {
    this.countCall(target, 'request', nowMs);
    this.limits.spend(target, nowMs);
    this.rests.noteRequest(target, nowMs);
  }

  /** Notes what the response of a target states. */
  noteResponse(
    target: TargetBoot,
    {res, sentAtMs}: TimedResponse,
    nowMs: number
  ): void {
    const notice = this.parts.readNotice(res);
    if (notice === undefined) return;
    const {rateLimit, restMs, isLeaving, invalidHeaders} = notice;
    for (const header of invalidHeaders) this.logInvalid(target, header);
    if (isLeaving) this.noteDeparture(target, nowMs);
    if (restMs === undefined) this.rests.noteServed(target, nowMs);
    else this.noteRest(target, restMs, nowMs);
    if (rateLimit === 'invalid') return;
    this.logLimit(target, rateLimit);
    this.limits.addEvidence(target, {
      perSecond: rateLimit ?? Infinity,
      notBeforeMs: sentAtMs,
      notAfterMs: nowMs,
    });
  }

  /** As `noteResponse`, for a rank that is known by its address. */
  noteRankResponse(
    address: string,
    response: TimedResponse,
    nowMs: number
  ): void {
    const target = this.table.findByAddress(address);
    if (target !== undefined) this.noteResponse(target, response, nowMs);
  }

  /** Counts a call of a kind, if the target has a rate limit or is at rest. */
  countCall(target: TargetBoot, kind: string, nowMs: number): void {
    const {metrics} = this.parts;
    if (this.isLimited(target)) metrics.limitedTargetCalled(kind);
    if (this.rests.remainingMs(target, nowMs) > 0)
      metrics.restingTargetCalled(kind);
  }

  /** Whether the target asked for less load, by a rate limit or a rest. */
  isRestricted(target: TargetBoot, nowMs: number): boolean {
    return this.isLimited(target) || this.restMs(target, nowMs) > 0;
  }

  /** Whether the target has a rate limit. */
  isLimited(target: TargetBoot): boolean {
    return this.limitOf(target) !== Infinity;
  }

  /** Requests per second that all nodes may send; Infinity without a limit. */
  limitOf(target: TargetBoot): number {
    return this.limits.limitOf(target);
  }

  /** The part of a report to the leader. */
  takeReports(nowMs: number): readonly LimitReport[] {
    return this.limits.takeReports(nowMs);
  }

  /** Takes the leader's reply to a report that was sent at `sentAtMs`. */
  applyReply(
    reply: SyncState,
    reports: readonly LimitReport[],
    sentAtMs: number,
    nowMs: number
  ): void {
    this.limits.applyReply(reply, reports, sentAtMs, nowMs);
    this.replies$.next();
  }

  /**
   * Reports the limits that the table of a new leader lacks: it may have started
   * just now.
   */
  reportLimitsMissingIn(leaderRecords: readonly TargetRecord[]): void {
    this.limits.reportMissingIn(leaderRecords);
  }

  /** Evicts the state of targets that are gone or have restarted. */
  evict(nowMs: number): void {
    this.limits.evict();
    this.rests.evict(this.table);
    this.departures.evict(this.table, nowMs);
    for (const id of [...this.loggedInvalid, ...this.stated.keys()]) {
      if (this.table.find(id) !== undefined) continue;
      this.loggedInvalid.delete(id);
      this.stated.delete(id);
    }
  }

  private noteDeparture(target: TargetBoot, nowMs: number): void {
    if (!this.departures.add(target, nowMs)) return;
    const {id, bornMs} = target;
    this.parts.logger.info(
      {event: 'target.leaving', target: id, bornMs},
      `target ${id} states that it leaves`
    );
  }

  private noteRest(target: TargetBoot, restMs: number, nowMs: number): void {
    const wasAtRest = this.rests.remainingMs(target, nowMs) > 0;
    this.rests.begin(target, restMs, nowMs);
    if (wasAtRest) return;
    const {id, bornMs} = target;
    this.parts.logger.info(
      {event: 'target.rest', target: id, bornMs, restMs},
      `target ${id} asks this node for a rest of ${restMs} ms`
    );
  }

  private logLimit(
    {id, bornMs}: TargetBoot,
    perSecond: number | undefined
  ): void {
    const known = this.stated.get(id);
    const before = known?.bornMs === bornMs ? known.perSecond : undefined;
    if (before === perSecond) return;
    this.stated.set(id, {bornMs, perSecond});
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
