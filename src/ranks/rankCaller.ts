/** Calls to the ranks of a group, passed on by other nodes where it is large. */

import {from, lastValueFrom, mergeMap, toArray} from 'rxjs';
import {packText} from '../site/packText';
import type {RankCall} from '../ports/rankPort';
import type {Located} from '../policy/relayPlan';
import {planRelays} from '../policy/relayPlan';
import {RetransmitTimeout} from '../policy/retransmitTimeout';
import type {RankAnswer} from './rankClient';
import {callRank} from './rankClient';
import {RELAY_METHOD, RELAY_REPLY} from './relayMessages';
import type {RelayParams} from './relayMessages';

/** What a call is for; calls of one kind take about the same time. */
export type RankCallKind =
  'report' | 'counts' | 'map' | 'prepare' | 'disarm' | 'arm' | 'hold' | 'go';

/** Nodes that can pass calls on. */
export interface RelayNodes {
  /** Nodes that reported a moment ago, this one excluded. */
  relays(): readonly Located[];
  /** Rejects when no answer came in time. */
  callNode(
    ip: string,
    method: string,
    params: RelayParams,
    timeoutMs: number
  ): Promise<unknown>;
}

/** How a fan-out went. */
export interface FanOutSummary {
  readonly sent: number;
  readonly answered: number;
  /** Nodes that passed calls on. */
  readonly relays: number;
  readonly tookMs: number;
}

/** Calls answered in a moment: a lost one holds up the whole group. */
const SMALL_BOUNDS = {minMs: 60, maxMs: 1_000, initialMs: 60};
/** Tens of kilobytes over the narrow link of a rank. */
const BULK_BOUNDS = {minMs: 120, maxMs: 1_500, initialMs: 300};
/** Way to a relay and back, beside the calls that it makes. */
const RELAY_ALLOWANCE_MS = 120;
/** A relay that failed is left out for so long. */
const RELAY_REST_MS = 3_000;
/** Direct calls in flight. */
const MAX_CONCURRENT_CALLS = 16;

/** Calls to ranks, with limits that follow the answers. */
export class RankCaller {
  private readonly timeouts = new Map<RankCallKind, RetransmitTimeout>();
  private readonly restUntilMs = new Map<string, number>();

  constructor(private readonly nodes: RelayNodes) {}

  /** Calls one rank; undefined when no answer came in time. */
  async call(
    rank: Located,
    kind: RankCallKind,
    call: RankCall
  ): Promise<RankAnswer | undefined> {
    const timeout = this.timeoutOf(kind);
    const answer = await callRank(rank.address, call, timeout.ms);
    if (answer === undefined) timeout.noteTimeouts(1, 1);
    else timeout.noteAnswer(answer.tookMs);
    return answer;
  }

  /** Makes the same call to many ranks; answers are told as they come. */
  async callAll<T extends Located>(
    ranks: readonly T[],
    kind: RankCallKind,
    call: RankCall,
    onAnswer: (rank: T, answer: RankAnswer | undefined) => void
  ): Promise<FanOutSummary> {
    const startMs = performance.now();
    const limitMs = this.timeoutOf(kind).ms;
    const shares = planRelays(ranks, this.usableRelays(startMs));
    const packedBody = shares.some(({relay}) => relay !== undefined)
      ? packedOf(call)
      : undefined;
    const answers = await Promise.all(
      shares.map(({relay, ranks: ofShare}) =>
        relay === undefined
          ? callDirectly(ofShare, call, limitMs, onAnswer)
          : this.callThrough(
              relay,
              {method: call.method, path: call.path, packedBody, limitMs},
              ofShare,
              onAnswer
            )
      )
    );
    const answered = answers.flat().filter(answer => answer !== undefined);
    this.noteAll(kind, answered, ranks.length);
    return {
      sent: ranks.length,
      answered: answered.length,
      relays: shares.filter(({relay}) => relay !== undefined).length,
      tookMs: performance.now() - startMs,
    };
  }

  private async callThrough<T extends Located>(
    relay: string,
    call: Omit<RelayParams, 'addresses'>,
    ranks: readonly T[],
    onAnswer: (rank: T, answer: RankAnswer | undefined) => void
  ): Promise<readonly (RankAnswer | undefined)[]> {
    const addresses = ranks.map(({address}) => address);
    const params = {...call, addresses};
    const limitMs = call.limitMs + RELAY_ALLOWANCE_MS;
    let answers: readonly (RankAnswer | undefined)[] = [];
    try {
      const reply = RELAY_REPLY.parse(
        await this.nodes.callNode(relay, RELAY_METHOD, params, limitMs)
      );
      answers = reply.answers.map(answer => answer ?? undefined);
    } catch {
      // Counted as unanswered; the summary of the fan-out is logged.
      this.restUntilMs.set(relay, performance.now() + RELAY_REST_MS);
    }
    ranks.forEach((rank, i) => onAnswer(rank, answers[i]));
    return answers;
  }

  private usableRelays(nowMs: number): readonly Located[] {
    return this.nodes
      .relays()
      .filter(({address}) => (this.restUntilMs.get(address) ?? 0) <= nowMs);
  }

  private noteAll(
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
    const timeout = new RetransmitTimeout(isBulk ? BULK_BOUNDS : SMALL_BOUNDS);
    this.timeouts.set(kind, timeout);
    return timeout;
  }
}

function callDirectly<T extends Located>(
  ranks: readonly T[],
  call: RankCall,
  limitMs: number,
  onAnswer: (rank: T, answer: RankAnswer | undefined) => void
): Promise<readonly (RankAnswer | undefined)[]> {
  return lastValueFrom(
    from(ranks).pipe(
      mergeMap(async rank => {
        const answer = await callRank(rank.address, call, limitMs);
        onAnswer(rank, answer);
        return answer;
      }, MAX_CONCURRENT_CALLS),
      toArray()
    )
  );
}

function packedOf({body}: RankCall): string | undefined {
  return body === undefined ? undefined : packText(body);
}
