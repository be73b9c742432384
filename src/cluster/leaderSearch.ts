/** One call to the leader: tries nodes until one of them replies as the leader. */

import type * as z from 'zod';
import {PeerError} from '../core/errors';
import type {LeaderCallOutcome} from '../core/nodeMetrics';
import type {SearchState} from './leaderCandidates';

/** Reply of a node that does not lead, with the leader if it knows one. */
export interface NotLeader {
  readonly kind: 'notLeader';
  readonly leader?: string;
}

/** One call and the schema of its reply. */
export interface LeaderCall<T> {
  readonly method: string;
  readonly params: unknown;
  readonly reply: z.ZodType<T | NotLeader>;
  /** Timeout for each node that is tried. */
  readonly timeoutMs: number;
  /**
   * Whether the next node may be called while one is slow. Without it, another
   * node is called only if it is known to lead.
   */
  readonly mayOverlap: boolean;
}

/** What a search needs of the client that runs it. */
export interface LeaderSearchParts {
  /** Addresses of the known leader, the most credible first. */
  leaders(): readonly string[];
  nextCandidate(state: SearchState): string | undefined;
  send(ip: string, call: LeaderCall<unknown>): Promise<unknown>;
  /** Handles a try that found no leader, also one that ends late. */
  onFailed(ip: string, failure: FailedTry): void;
}

/** Why a try found no leader. */
export interface FailedTry {
  readonly outcome: LeaderCallOutcome;
  readonly text: string;
  /** Whether a message of the node arrived. */
  readonly hasAnswered: boolean;
}

/** Tries that may end with a reply of a node that does not lead. */
const MAX_REPLIES = 5;
/** Tries one after the other; each may last a whole timeout. */
const MAX_TRIES = 5;
/** Overlapping tries; those at addresses that are gone load no one. */
const MAX_OVERLAPPING_TRIES = 16;
/** Delay before the next node is called while the known leader is slow. */
const SLOW_LEADER_MS = 250;
/** Delay before the next node is called while any other node is slow. */
const SLOW_NODE_MS = 60;

/** The search of one call. */
export class LeaderSearch<T extends {readonly kind: string}> {
  private readonly tried = new Set<string>();
  private readonly pending = new Set<string>();
  private readonly failures: string[] = [];
  private named: readonly string[] = [];
  private tries = 0;
  private replies = 0;
  private lastTried: string | undefined;
  private timer: NodeJS.Timeout | undefined;
  private settle: ((result: SearchResult<T>) => void) | undefined;

  constructor(
    private readonly call: LeaderCall<T>,
    private readonly parts: LeaderSearchParts
  ) {}

  /** Resolves with the leader's reply; rejects when no leader replied. */
  async run(): Promise<LeaderReply<T>> {
    const result = await new Promise<SearchResult<T>>(resolve => {
      this.settle = resolve;
      this.tryNext();
    });
    this.settle = undefined;
    clearTimeout(this.timer);
    if (result.kind === 'found') return result;
    throw new Error(
      this.failures.length === 0
        ? 'no other node is known that may lead'
        : `no leader: ${this.failures.join('; ')}`
    );
  }

  /** Calls a node that claims to lead, also if it failed in this search. */
  onClaim(ip: string): void {
    if (this.settle === undefined || this.pending.has(ip)) return;
    if (this.triesLeft > 0) this.callNode(ip);
  }

  private get triesLeft(): number {
    const {mayOverlap} = this.call;
    const tries = (mayOverlap ? MAX_OVERLAPPING_TRIES : MAX_TRIES) - this.tries;
    return Math.min(tries, MAX_REPLIES - this.replies);
  }

  private tryNext(): void {
    const ip = this.nextCandidate();
    if (ip !== undefined) this.callNode(ip);
    else if (this.pending.size === 0) this.settle?.({kind: 'notFound'});
  }

  private nextCandidate(): string | undefined {
    const {triesLeft, tried} = this;
    if (triesLeft <= 0) return undefined;
    const named = [...this.parts.leaders(), ...this.named];
    return this.parts.nextCandidate({tried, named, isLastTry: triesLeft === 1});
  }

  private callNode(ip: string): void {
    const isKnownLeader = this.parts.leaders().includes(ip);
    this.tries++;
    this.tried.add(ip);
    this.pending.add(ip);
    this.lastTried = ip;
    void this.send(ip);
    if (!this.call.mayOverlap) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(
      () => this.tryNext(),
      isKnownLeader ? SLOW_LEADER_MS : SLOW_NODE_MS
    );
  }

  private async send(ip: string): Promise<void> {
    let failure: FailedTry;
    try {
      const reply = this.call.reply.parse(await this.parts.send(ip, this.call));
      if (reply.kind !== 'notLeader') {
        const found = reply as Exclude<T, NotLeader>;
        this.settle?.({kind: 'found', ip, reply: found});
        return;
      }
      const {leader} = reply as NotLeader;
      this.replies++;
      if (leader !== undefined) this.named = [leader, ...this.named];
      failure = describeNotLeader(ip, leader);
    } catch (err) {
      failure = describeFailure(ip, err);
    }
    this.pending.delete(ip);
    this.failures.push(failure.text);
    this.parts.onFailed(ip, failure);
    if (this.settle === undefined) return;
    // The timer of a later try goes on.
    const isLatest = this.call.mayOverlap && ip === this.lastTried;
    if (isLatest || this.pending.size === 0) this.tryNext();
  }
}

/** The reply of the leader, and its address. */
export interface LeaderReply<T> {
  readonly ip: string;
  readonly reply: Exclude<T, NotLeader>;
}

type SearchResult<T> =
  ({readonly kind: 'found'} & LeaderReply<T>) | {readonly kind: 'notFound'};

function describeNotLeader(ip: string, leader: string | undefined): FailedTry {
  const named = leader === undefined ? '' : `, names ${leader}`;
  const text = `${ip} does not lead${named}`;
  return {outcome: 'notLeader', text, hasAnswered: true};
}

function describeFailure(ip: string, err: unknown): FailedTry {
  if (!(err instanceof PeerError))
    return {
      outcome: 'invalid',
      text: `${ip} ${String(err)}`,
      hasAnswered: true,
    };
  const outcome = err.fault.kind;
  const hasAnswered = outcome === 'rejected';
  const text = `${ip} ${outcome}${hasAnswered ? `: ${err.detail}` : ''}`;
  return {outcome, text, hasAnswered};
}
