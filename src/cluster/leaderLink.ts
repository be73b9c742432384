/** Calls to whoever leads, which is found by asking the nodes that are known. */

import type * as z from 'zod';
import type {Logger} from '../core/logger';
import type {NodeDirectory} from './nodeDirectory';
import type {RpcClient} from './rpcClient';

/** What every answer of a node that does not lead looks like. */
interface NotLeader {
  readonly kind: 'notLeader';
  readonly leader?: string;
}

/** Nodes asked for one call before it fails: a leader that moved is found. */
const MAX_ATTEMPTS = 5;

/** One call and how its answer reads. */
export interface LeaderCall<T> {
  readonly method: string;
  readonly params: unknown;
  readonly reply: z.ZodType<T | NotLeader>;
  /** For one node asked. */
  readonly timeoutMs: number;
}

/** Finds the leader and remembers it. */
export class LeaderClient {
  private cachedLeader: string | undefined;
  private nextIndex = 0;

  constructor(
    private readonly rpc: RpcClient,
    private readonly directory: NodeDirectory,
    private readonly logger: Logger,
    /** Leader by this node's own log, if it takes part in it. */
    private readonly leaderFromLog: () => string | undefined
  ) {}

  /** The leader as far as known. */
  get leader(): string | undefined {
    return this.leaderFromLog() ?? this.cachedLeader;
  }

  /** Asks one node after the other; rejects when none leads. */
  async call<T extends {readonly kind: string}>(
    call: LeaderCall<T>
  ): Promise<Exclude<T, NotLeader>> {
    let hint = this.leader;
    let failure: unknown = new Error('no other node is known');
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
        failure = new Error(`${ip} does not lead`);
        hint = leader === ip ? undefined : leader;
      } catch (err) {
        failure = err;
        hint = undefined;
      }
      if (this.cachedLeader === ip) this.clearLeader(failure);
    }
    throw failure;
  }

  private cacheLeader(ip: string): void {
    if (this.cachedLeader !== ip)
      this.logger.info({event: 'leader.found', ip}, 'leader found');
    this.cachedLeader = ip;
  }

  private clearLeader(failure: unknown): void {
    const err = String(failure);
    this.logger.warn(
      {event: 'leader.lost', ip: this.cachedLeader, err},
      'leader lost'
    );
    this.cachedLeader = undefined;
  }

  /** Each in turn, so that one that hangs is not asked over and over. */
  private nextNode(): string | undefined {
    const addresses = this.directory.probeAddresses();
    if (addresses.length === 0) return undefined;
    return addresses[this.nextIndex++ % addresses.length];
  }
}
