/** Calls to the leader, which is found by trying the known nodes. */

import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import {LeaderCandidates} from './leaderCandidates';
import type {LeaderCall, NotLeader} from './leaderSearch';
import {LeaderSearch} from './leaderSearch';
import type {NodeDirectory} from './nodeDirectory';
import type {RpcClient} from './rpcClient';
import {UnresponsiveNodes} from './unresponsiveNodes';

/** Dependencies of the calls to the leader. */
export interface LeaderClientParts {
  readonly rpc: RpcClient;
  readonly directory: NodeDirectory;
  readonly logger: Logger;
  readonly metrics: Pick<NodeMetrics, 'leaderCalled'>;
  /** Leader by this node's own log; undefined without one. */
  leaderFromLog(): string | undefined;
  nowMs(): number;
}

/** Finds the leader and caches its address. */
export class LeaderClient {
  private cachedLeader: string | undefined;
  /** When a leader was last found or lost. */
  private changedAtMs: number;
  private readonly unresponsive = new UnresponsiveNodes();
  private readonly candidates: LeaderCandidates;
  private readonly searches = new Set<Pick<LeaderSearch<never>, 'onClaim'>>();

  constructor(private readonly parts: LeaderClientParts) {
    const {directory, nowMs} = parts;
    this.changedAtMs = nowMs();
    this.candidates = new LeaderCandidates(directory, this.unresponsive, nowMs);
  }

  /** The leader, if known. */
  get leader(): string | undefined {
    return this.parts.leaderFromLog() ?? this.cachedLeader;
  }

  /** Takes a node's word that it leads; used unless this node's log names one. */
  noteLeader(ip: string): void {
    this.noteContact(ip);
    this.cacheLeader(ip);
  }

  /** Records a message that came from the node itself. */
  noteContact(ip: string): void {
    this.unresponsive.delete(ip);
  }

  /** Forgets earlier leaders while this node leads. */
  noteSelfLeads(): void {
    this.cachedLeader = undefined;
    this.changedAtMs = this.parts.nowMs();
  }

  /** Tries nodes until the leader replies; rejects when none did. */
  async call<T extends {readonly kind: string}>(
    call: LeaderCall<T>
  ): Promise<Exclude<T, NotLeader>> {
    const search = new LeaderSearch(call, {
      leaders: () => this.knownLeaders,
      nextCandidate: state => this.candidates.next(state),
      send: (ip, {method, params, timeoutMs}) =>
        this.parts.rpc.call(ip, method, params, timeoutMs),
      onFailed: (ip, {outcome, text, hasAnswered}) => {
        this.parts.metrics.leaderCalled(outcome);
        if (hasAnswered) this.noteContact(ip);
        else this.unresponsive.add(ip, this.parts.nowMs());
        if (this.cachedLeader === ip) this.clearLeader(text);
      },
    });
    this.searches.add(search);
    try {
      const {ip, reply} = await search.run();
      this.parts.metrics.leaderCalled('done');
      this.noteLeader(ip);
      return reply;
    } finally {
      this.searches.delete(search);
    }
  }

  /** This node's log may still name a leader that is lost. */
  private get knownLeaders(): readonly string[] {
    const leaders = [this.parts.leaderFromLog(), this.cachedLeader];
    return leaders.filter(ip => ip !== undefined);
  }

  private cacheLeader(ip: string): void {
    if (this.cachedLeader === ip) return;
    const nowMs = this.parts.nowMs();
    const isChange = this.cachedLeader !== undefined;
    const leaderlessMs = isChange ? 0 : Math.round(nowMs - this.changedAtMs);
    this.cachedLeader = ip;
    this.changedAtMs = nowMs;
    this.parts.logger.info(
      {event: 'leader.found', ip, leaderlessMs},
      `found leader ${ip} after ${leaderlessMs} ms without one`
    );
    for (const search of [...this.searches]) search.onClaim(ip);
  }

  private clearLeader(err: string): void {
    const ip = this.cachedLeader;
    const nowMs = this.parts.nowMs();
    const knownMs = Math.round(nowMs - this.changedAtMs);
    this.cachedLeader = undefined;
    this.changedAtMs = nowMs;
    this.parts.logger.warn(
      {event: 'leader.lost', ip, err, knownMs},
      `lost leader ${ip}, known for ${knownMs} ms`
    );
  }
}
