/** Calls the ranks of a group; large groups are called through other nodes. */

import {from, lastValueFrom, mergeMap, toArray} from 'rxjs';
import {packText} from '../site/packText';
import type {RankCall} from '../ports/rankPort';
import type {ZonedAddress} from '../policy/relayPlan';
import {planRelays} from '../policy/relayPlan';
import {RetransmitTimeout} from '../policy/retransmitTimeout';
import type {OnRankResponse, RankAnswer} from './rankClient';
import {callRank} from './rankClient';
import {RELAY_METHOD, RELAY_REPLY} from './relayMessages';
import type {RelayParams} from './relayMessages';

/** Purpose of a call; each kind has a timeout of its own. */
export type RankCallKind =
  'report' | 'counts' | 'map' | 'prepare' | 'disarm' | 'arm' | 'hold' | 'go';

/** Access to the nodes that can relay calls. */
export interface RelayNodes {
  /** Nodes that reported recently, without this one. */
  relays(): readonly ZonedAddress[];
  /** Rejects when no reply arrives within the timeout. */
  callNode(
    ip: string,
    method: string,
    params: RelayParams,
    timeoutMs: number
  ): Promise<unknown>;
}

/** Observes the calls to ranks. */
export interface RankCallObserver {
  /** Called before each call, also before those that a relay makes. */
  onCall(address: string, kind: RankCallKind): void;
  /** Called with each direct response; a relay notes those that it receives. */
  readonly onResponse: OnRankResponse;
}

/** Outcome of a fan-out. */
export interface FanOutSummary {
  readonly sent: number;
  readonly answered: number;
  /** Nodes that relayed calls. */
  readonly relays: number;
  readonly tookMs: number;
}

/**
 * Timeout bounds of calls with small messages, which get a response at once.
 * Short, because a lost one holds up the whole group.
 */
const SMALL_TIMEOUT_BOUNDS = {minMs: 60, maxMs: 1_000, initialMs: 60};
/**
 * Timeout bounds of calls that transfer tens of kilobytes over the narrow link
 * of a rank.
 */
const BULK_TIMEOUT_BOUNDS = {minMs: 120, maxMs: 1_500, initialMs: 300};
/**
 * Time of the round trip to a relay, in addition to the calls that it makes.
 */
const RELAY_OVERHEAD_MS = 120;
/** Time during which a relay that failed is not used. */
const FAILED_RELAY_BACKOFF_MS = 3_000;
/** Most direct calls in flight at once. */
const MAX_CONCURRENT_CALLS = 16;

/** Calls ranks, with timeouts that adapt to the measured response times. */
export class RankTransport {
  private readonly timeouts = new Map<RankCallKind, RetransmitTimeout>();
  private readonly backoffUntilMs = new Map<string, number>();

  constructor(
    private readonly nodes: RelayNodes,
    private readonly observer: RankCallObserver
  ) {}

  /** Calls one rank; undefined when no response arrived in time. */
  async call(
    rank: ZonedAddress,
    kind: RankCallKind,
    call: RankCall
  ): Promise<RankAnswer | undefined> {
    const timeout = this.timeoutOf(kind);
    const {onResponse} = this.observer;
    this.observer.onCall(rank.address, kind);
    const answer = await callRank(rank.address, call, timeout.ms, onResponse);
    if (answer === undefined) timeout.noteTimeouts(1, 1);
    else timeout.noteAnswer(answer.tookMs);
    return answer;
  }

  /**
   * Makes the same call to many ranks; `onAnswer` gets each response as it
   * comes.
   */
  async callAll<T extends ZonedAddress>(
    ranks: readonly T[],
    kind: RankCallKind,
    call: RankCall,
    onAnswer: (rank: T, answer: RankAnswer | undefined) => void
  ): Promise<FanOutSummary> {
    const startMs = performance.now();
    const limitMs = this.timeoutOf(kind).ms;
    for (const {address} of ranks) this.observer.onCall(address, kind);
    const shares = planRelays(ranks, this.usableRelays(startMs));
    const packedBody = shares.some(({relay}) => relay !== undefined)
      ? packBody(call)
      : undefined;
    const answers = await Promise.all(
      shares.map(({relay, ranks: shareRanks}) =>
        relay === undefined
          ? this.callDirectly(shareRanks, call, limitMs, onAnswer)
          : this.callViaRelay(
              relay,
              {method: call.method, path: call.path, packedBody, limitMs},
              shareRanks,
              onAnswer
            )
      )
    );
    const answered = answers.flat().filter(answer => answer !== undefined);
    this.noteResponses(kind, answered, ranks.length);
    return {
      sent: ranks.length,
      answered: answered.length,
      relays: shares.filter(({relay}) => relay !== undefined).length,
      tookMs: performance.now() - startMs,
    };
  }

  private callDirectly<T extends ZonedAddress>(
    ranks: readonly T[],
    call: RankCall,
    timeoutMs: number,
    onAnswer: (rank: T, answer: RankAnswer | undefined) => void
  ): Promise<readonly (RankAnswer | undefined)[]> {
    const {onResponse} = this.observer;
    return lastValueFrom(
      from(ranks).pipe(
        mergeMap(async rank => {
          const {address} = rank;
          const answer = await callRank(address, call, timeoutMs, onResponse);
          onAnswer(rank, answer);
          return answer;
        }, MAX_CONCURRENT_CALLS),
        toArray()
      )
    );
  }

  private async callViaRelay<T extends ZonedAddress>(
    relay: string,
    call: Omit<RelayParams, 'addresses'>,
    ranks: readonly T[],
    onAnswer: (rank: T, answer: RankAnswer | undefined) => void
  ): Promise<readonly (RankAnswer | undefined)[]> {
    const addresses = ranks.map(({address}) => address);
    const params = {...call, addresses};
    const timeoutMs = call.limitMs + RELAY_OVERHEAD_MS;
    let answers: readonly (RankAnswer | undefined)[] = [];
    try {
      const reply = RELAY_REPLY.parse(
        await this.nodes.callNode(relay, RELAY_METHOD, params, timeoutMs)
      );
      answers = reply.answers.map(answer => answer ?? undefined);
    } catch {
      // Its ranks count as unanswered in the summary of the fan-out, which is
      // logged.
      this.backoffUntilMs.set(
        relay,
        performance.now() + FAILED_RELAY_BACKOFF_MS
      );
    }
    ranks.forEach((rank, i) => onAnswer(rank, answers[i]));
    return answers;
  }

  private usableRelays(nowMs: number): readonly ZonedAddress[] {
    return this.nodes
      .relays()
      .filter(({address}) => (this.backoffUntilMs.get(address) ?? 0) <= nowMs);
  }

  private noteResponses(
    kind: RankCallKind,
    answered: readonly RankAnswer[],
    sent: number
  ): void {
    const timeout = this.timeoutOf(kind);
    for (const {tookMs} of answered) timeout.noteAnswer(tookMs);
    timeout.noteTimeouts(sent - answered.length, sent);
  }

  private timeoutOf(kind: RankCallKind): RetransmitTimeout {
    const known = this.timeouts.get(kind);
    if (known !== undefined) return known;
    const isBulk = kind === 'prepare' || kind === 'counts';
    const timeout = new RetransmitTimeout(
      isBulk ? BULK_TIMEOUT_BOUNDS : SMALL_TIMEOUT_BOUNDS
    );
    this.timeouts.set(kind, timeout);
    return timeout;
  }
}

function packBody({body}: RankCall): string | undefined {
  return body === undefined ? undefined : packText(body);
}
