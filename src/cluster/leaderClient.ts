/** Calls to the leader, which is found by trying the known nodes. */

import type * as z from 'zod';
import {PeerError} from '../core/errors';
import type {Logger} from '../core/logger';
import type {NodeDirectory} from './nodeDirectory';
import type {RpcClient} from './rpcClient';

/** Reply of a node that does not lead, with the leader if it knows one. */
interface NotLeader {
  readonly kind: 'notLeader';
  readonly leader?: string;
}

/** Nodes tried per call, enough to find a leader that has changed. */
const MAX_ATTEMPTS = 5;

/** One call and the schema of its reply. */
export interface LeaderCall<T> {
  readonly method: string;
  readonly params: unknown;
  readonly reply: z.ZodType<T | NotLeader>;
  /** Timeout for each node that is tried. */
  readonly timeoutMs: number;
}

/** Finds the leader and caches its address. */
export class LeaderClient {
  private cachedLeader: string | undefined;
  /** When a leader was last found or lost. */
  private changedAtMs: number;
  private nextIndex = 0;

  constructor(
    private readonly rpc: RpcClient,
    private readonly directory: NodeDirectory,
    private readonly logger: Logger,
    /** Leader by this node's own log; undefined without one. */
    private readonly leaderFromLog: () => string | undefined,
    private readonly nowMs: () => number
  ) {
    this.changedAtMs = nowMs();
  }

  /** The leader, if known. */
  get leader(): string | undefined {
    return this.leaderFromLog() ?? this.cachedLeader;
  }

  /** Takes a node's word that it leads; used unless this node's log names one. */
  noteLeader(ip: string): void {
    this.cacheLeader(ip);
  }

  /** Forgets earlier leaders while this node leads. */
  noteSelfLeads(): void {
    this.cachedLeader = undefined;
    this.changedAtMs = this.nowMs();
  }

  /** Tries one node after the other; rejects when no leader replied. */
  async call<T extends {readonly kind: string}>(
    call: LeaderCall<T>
  ): Promise<Exclude<T, NotLeader>> {
    let hint = this.leader;
    const failures: string[] = [];
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const ip = hint ?? this.nextNode();
      if (ip === undefined || ip === this.directory.self.ip) break;
      try {
        const {method, params, timeoutMs} = call;
        const result = await this.rpc.call(ip, method, params, timeoutMs);
        const reply = call.reply.parse(result);
        if (reply.kind !== 'notLeader') {
          this.cacheLeader(ip);
          return reply as Exclude<T, NotLeader>;
        }
        const {leader} = reply as NotLeader;
        failures.push(describeNotLeader(ip, leader));
        hint = leader === ip ? undefined : leader;
      } catch (err) {
        failures.push(describeFailure(ip, err));
        hint = undefined;
      }
      if (this.cachedLeader === ip) this.clearLeader(failures.at(-1));
    }
    throw new Error(
      failures.length === 0
        ? 'no other node is known that may lead'
        : `no leader: ${failures.join('; ')}`
    );
  }

  private cacheLeader(ip: string): void {
    if (this.cachedLeader === ip) return;
    const nowMs = this.nowMs();
    const isChange = this.cachedLeader !== undefined;
    const leaderlessMs = isChange ? 0 : Math.round(nowMs - this.changedAtMs);
    this.cachedLeader = ip;
    this.changedAtMs = nowMs;
    this.logger.info(
      {event: 'leader.found', ip, leaderlessMs},
      `found leader ${ip} after ${leaderlessMs} ms without one`
    );
  }

  private clearLeader(err: string | undefined): void {
    const ip = this.cachedLeader;
    const nowMs = this.nowMs();
    const knownMs = Math.round(nowMs - this.changedAtMs);
    this.cachedLeader = undefined;
    this.changedAtMs = nowMs;
    this.logger.warn(
      {event: 'leader.lost', ip, err, knownMs},
      `lost leader ${ip}, known for ${knownMs} ms`
    );
  }

  /**
   * Rotates through all nodes, so that one that hangs is not tried each time. Only
   * few of many nodes vote and know a new leader at once. Seeds do as founders,
   * and every second node that is tried is one of them.
   */
  private nextNode(): string | undefined {
    const {self} = this.directory;
    const seeds = this.directory.seedAddresses().filter(ip => ip !== self.ip);
    const all = this.directory.probeAddresses();
    const index = this.nextIndex++;
    const addresses = index % 2 === 0 && seeds.length > 0 ? seeds : all;
    if (addresses.length === 0) return undefined;
    return addresses[Math.floor(index / 2) % addresses.length];
  }
}

function describeNotLeader(ip: string, leader: string | undefined): string {
  const named = leader === undefined ? '' : `, names ${leader}`;
  return `${ip} does not lead${named}`;
}

function describeFailure(ip: string, err: unknown): string {
  if (!(err instanceof PeerError)) return `${ip} ${String(err)}`;
  const {kind} = err.fault;
  return kind === 'rejected' ? `${ip} ${kind}: ${err.detail}` : `${ip} ${kind}`;
}
