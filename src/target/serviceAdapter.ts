/** Adapter to a plain service: a health check, but no orders and no cancel. */

import net from 'node:net';
import * as z from 'zod';
import {PeerError} from '../core/errors';
import type {Dispatch} from '../core/wire';
import {
  CancelAnswer,
  OrderAnswer,
  RequestHeaders,
  TargetAdapter,
  TargetObservation,
} from './targetAdapter';
import {TargetClient} from './targetClient';

const FIRST_ERROR_STATUS = 400;

/** Services may report their load; every field is optional. */
const HEALTH = z.object({
  bootId: z.string().optional(),
  state: z.enum(['ready', 'loading']).default('ready'),
  cold: z.boolean().optional(),
  nowMs: z.number().optional(),
  load: z
    .object({
      running: z.number().nonnegative(),
      waiting: z.number().nonnegative().default(0),
      reportedAtMs: z.number().optional(),
    })
    .optional(),
});
type Health = z.infer<typeof HEALTH>;

const NO_CACHE_EVENTS = {events: [], missed: 0};
const READY_WITHOUT_DETAILS: TargetObservation = {
  state: 'ready',
  adapters: [],
  cacheEvents: NO_CACHE_EVENTS,
};

/** The adapter to one plain service. */
export class ServiceAdapter implements TargetAdapter {
  readonly peer: string;
  private readonly client: TargetClient;

  constructor(
    private readonly host: string,
    private readonly port: number,
    private readonly healthPath?: string
  ) {
    this.client = new TargetClient(host, port);
    this.peer = this.client.peer;
  }

  async observe(signal: AbortSignal): Promise<TargetObservation> {
    if (this.healthPath === undefined) {
      await this.connect(signal);
      return READY_WITHOUT_DETAILS;
    }
    const response = await this.client.get(this.healthPath, signal);
    if (response.status >= FIRST_ERROR_STATUS)
      throw this.client.rejected(response.status, 'the health check failed');
    const health = HEALTH.safeParse(response.body);
    return health.success ? toObservation(health.data) : READY_WITHOUT_DETAILS;
  }

  requestHeaders(dispatch: Dispatch): RequestHeaders {
    return {'x-request-id': dispatch.requestId};
  }

  async cancel(): Promise<CancelAnswer> {
    return {kind: 'unsupported'};
  }

  async order(): Promise<OrderAnswer> {
    return {kind: 'unsupported'};
  }

  close(): void {
    this.client.close();
  }

  private connect(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const socket = net.connect({host: this.host, port: this.port, signal});
      socket.once('connect', () => {
        socket.destroy();
        resolve();
      });
      socket.once('error', (err: NodeJS.ErrnoException) => {
        const refusedByHost = err.code === 'ECONNREFUSED';
        const fault = signal.aborted
          ? ({kind: 'timeout'} as const)
          : ({kind: 'unreachable', refusedByHost} as const);
        reject(new PeerError(fault, 'target', this.peer, err.message));
      });
    });
  }
}

function toObservation(health: Health): TargetObservation {
  const nowMs = health.nowMs ?? Date.now();
  const reportedAtMs = health.load?.reportedAtMs ?? nowMs;
  return {
    ...READY_WITHOUT_DETAILS,
    bootId: health.bootId,
    state: health.state,
    cold: health.cold,
    load: health.load && {
      running: health.load.running,
      waiting: health.load.waiting,
      tokensInWork: 0,
      reportedAtMs,
      loadAgeMs: Math.max(0, nowMs - reportedAtMs),
    },
  };
}
