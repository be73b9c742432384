/** The control client over JSON-RPC, trying one instance after another. */

import type {Agent} from 'node:https';
import {firstValueFrom, timer} from 'rxjs';
import {PeerError} from '../core/errors';
import type {
  StatusAnswer,
  SubmitAnswer,
  UsageAnswer,
} from '../core/operatorAnswers';
import {METHODS} from '../rpc/messages';
import {createPeerAgent, PeerClient} from '../rpc/peerClient';
import {RPC_CODES} from '../rpc/peerServer';
import type {ClientSettings} from '../settings/settings';
import type {
  ClusterStatus,
  ControlClient,
  SilentInstance,
} from './controlClient';
import {ControlUnavailableError} from './controlClient';
import {mergeStatus} from './mergeStatus';

/** Name under which the client proves that it holds the shared secret. */
const CLIENT_IDENTITY = 'operator';
/** Wait before asking all instances again, as an election takes a moment. */
const RETRY_EVERY_MS = 300;
/** A silent instance must not hold up what the others have to tell. */
const STATUS_TIMEOUT_MS = 1000;
/** Rounds over all instances before a submission is given up. */
const SUBMIT_ROUNDS = 10;

/** Faults met so far, by instance. */
class Faults {
  private readonly byId = new Map<string, string>();
  mayHaveTakenEffect = false;

  add(id: string, err: unknown): void {
    if (!(err instanceof PeerError)) throw err;
    const {kind} = err.fault;
    if (kind === 'lost' || kind === 'timeout') this.mayHaveTakenEffect = true;
    this.byId.set(id, err.message);
  }

  list(): readonly SilentInstance[] {
    return [...this.byId].map(([id, reason]) => ({id, reason}));
  }
}

function isFinal(err: unknown): boolean {
  if (!(err instanceof PeerError) || err.fault.kind !== 'rejected')
    return false;
  return err.fault.code === RPC_CODES.invalidParams;
}

function settledValues<T>(
  results: readonly PromiseSettledResult<T>[]
): readonly T[] {
  return results.flatMap(result =>
    result.status === 'fulfilled' ? [result.value] : []
  );
}

/** Talks to the control instances of the client's settings. */
export class RpcControlClient implements ControlClient {
  private readonly agent: Agent;
  private readonly peers: readonly PeerClient[];
  private readonly timeoutMs: number;

  constructor(
    cfg: ClientSettings,
    private readonly submitRounds = SUBMIT_ROUNDS
  ) {
    this.agent = createPeerAgent(cfg.internal.key, CLIENT_IDENTITY);
    this.peers = cfg.control.instances.map(
      address => new PeerClient(address, this.agent)
    );
    this.timeoutMs = cfg.control.timeoutMs;
  }

  /**
   * Tries on after any fault: a submission is idempotent by revision and
   * text, so a second arrival gets the answer of the first.
   */
  async submit(text: string): Promise<SubmitAnswer> {
    const faults = new Faults();
    for (let round = 0; round < this.submitRounds; round++) {
      if (round > 0) await firstValueFrom(timer(RETRY_EVERY_MS));
      const answer = await this.firstAnswer<SubmitAnswer>(
        METHODS.submit,
        {text},
        faults
      );
      if (answer !== undefined) return answer;
    }
    throw this.unavailable(METHODS.submit, faults);
  }

  async status(): Promise<ClusterStatus> {
    const timeoutMs = Math.min(this.timeoutMs, STATUS_TIMEOUT_MS);
    const calls = this.peers.map(peer =>
      peer.call<StatusAnswer>(METHODS.status, {}, timeoutMs)
    );
    const results = await Promise.allSettled(calls);
    const faults = new Faults();
    for (const [index, result] of results.entries())
      if (result.status === 'rejected')
        faults.add(this.peers[index]?.address.id ?? '', result.reason);
    const answers = settledValues(results);
    if (answers.length === 0) throw this.unavailable(METHODS.status, faults);
    return mergeStatus(answers, faults.list());
  }

  async usage(): Promise<UsageAnswer> {
    const faults = new Faults();
    const answer = await this.firstAnswer<UsageAnswer>(
      METHODS.usage,
      {},
      faults
    );
    if (answer === undefined) throw this.unavailable(METHODS.usage, faults);
    return answer;
  }

  close(): void {
    this.agent.destroy();
  }

  private async firstAnswer<R>(
    method: string,
    params: unknown,
    faults: Faults
  ): Promise<R | undefined> {
    for (const peer of this.peers) {
      try {
        return await peer.call<R>(method, params, this.timeoutMs);
      } catch (err) {
        if (isFinal(err)) throw err;
        faults.add(peer.address.id, err);
      }
    }
    return undefined;
  }

  private unavailable(step: string, faults: Faults): ControlUnavailableError {
    return new ControlUnavailableError(
      step,
      faults.list(),
      faults.mayHaveTakenEffect
    );
  }
}
