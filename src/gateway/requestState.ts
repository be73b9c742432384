/** State of one request in a gateway. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {Cancellation} from '../core/cancellation';
import {ExecutionRecord} from '../core/executionRecord';
import type {HeldResponse} from './heldBytes';
import type {Urgency, UrgencyKey} from '../policy/admission/urgency';
import type {RequestTry} from '../policy/quarantine/crashCounts';
import type {CallerRequest} from '../ports/callerPort';
import type {SiteCustomer, SiteRoute, SiteService} from '../site/site';

/**
 * Why a request was cancelled: the caller closed the connection before the response was
 * complete, the deadline passed, its prompt was found to crash targets, or this process
 * stops.
 */
export type StopReason = 'callerGone' | 'timedOut' | 'quarantined' | 'stopping';

/** Why a request was not admitted, as logged. */
export interface RefusalCause {
  /** Service without a free slot. */
  readonly service?: string;
  /** What limits its concurrency. */
  readonly boundBy?: string;
  /** Targets that crashed under the request, if it is refused for them. */
  readonly crashes?: number;
  /** Refusal by a site document that may be outdated. */
  readonly withheld?: 'unknownRoute' | 'unknownKey' | 'bodyTooLarge';
  /** This and all that follows only for prioritized services. */
  readonly refusedBy?: 'ratio' | 'queue';
  readonly urgency?: UrgencyKey;
  /** Empty without a key. */
  readonly customer?: string;
  /** Admission ratio that applied. */
  readonly ratio?: number;
  /** Age of the leader's last grant, milliseconds. */
  readonly grantAgeMs?: number;
}

/** One request, from its headers to the end of its response. */
export class RequestState {
  readonly startedAtMs = performance.now();
  readonly cancellation = new Cancellation();
  /** Targets of its attempts, also of those that did not run it. */
  readonly tried = new Set<string>();
  /**
   * For logs and metrics: time from its arrival to its slot and to the first
   * event of its stream (0 before that), and the longest gap between two events.
   */
  readonly marks = {placeMs: 0, firstEventMs: 0, longestGapMs: 0};
  /** Figures of the admission queue that led to a refusal, for the log. */
  refusalFigures: Readonly<Record<string, number>> = {};
  /** Why it was not admitted, for the log. */
  refusalCause: RefusalCause = {};
  /** Events of its stream so far, of all attempts. */
  eventCount = 0;
  /** See `requestDigest`; undefined until its body was read. */
  digest: string | undefined;
  readonly execution = new ExecutionRecord();
  private readonly heldResponses: HeldResponse[] = [];
  private reason: StopReason | undefined;
  private deadlineTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly caller: CallerRequest
  ) {
    res.once('close', () => {
      if (!res.writableFinished) this.stop('callerGone');
      clearTimeout(this.deadlineTimer);
      for (const held of this.heldResponses) held.release();
    });
  }

  /** Why it was cancelled; undefined while it is in progress. */
  get stopped(): StopReason | undefined {
    return this.reason;
  }

  /** Whether any target may have run it. */
  get mayHaveRun(): boolean {
    return this.execution.mayHaveRun;
  }

  get ageMs(): number {
    return performance.now() - this.startedAtMs;
  }

  /** This try of the caller's request. */
  get requestTry(): RequestTry {
    const {digest = '', caller, startedAtMs} = this;
    return {digest, endsAtMs: startedAtMs + (caller.waitMs ?? Infinity)};
  }

  /** Cancels it `ms` after its arrival. */
  startDeadline(ms: number): void {
    this.deadlineMs = this.startedAtMs + ms;
    const left = this.deadlineMs - performance.now();
    this.deadlineTimer = setTimeout(
      () => this.stop('timedOut'),
      Math.max(0, left)
    );
  }

  /** Ends the account of a response once the caller has it. */
  releaseAtEnd(held: HeldResponse): void {
    if (this.res.closed) held.release();
    else this.heldResponses.push(held);
  }

  /** Cancels it because its prompt crashes targets. */
  quarantine(): void {
    this.stop('quarantined');
  }

  /** Cancels it because this process stops. */
  endForStop(): void {
    this.stop('stopping');
  }

  /** Time until the deadline, milliseconds; negative after it. */
  get remainingMs(): number {
    return this.deadlineMs - performance.now();
  }

  private deadlineMs = Infinity;

  private stop(reason: StopReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.cancellation.cancel();
  }
}

/** A request with its route, service and body. */
export interface RoutedRequest {
  readonly route: SiteRoute;
  readonly service: SiteService;
  readonly customer?: SiteCustomer;
  readonly urgency: Urgency;
  /** Rank of the urgency, 0 to 9; only for prioritized services. */
  readonly urgencyRank?: number;
  readonly body: Buffer;
}
