/** The control client over JSON-RPC, trying one instance after another. */

import type {Agent} from 'node:https';
import {firstValueFrom, timer} from 'rxjs';
import type {SubmitResult} from '../control/state/command';
import {PeerError} from '../core/errors';
import {createPeerAgent, PeerClient} from '../rpc/peerClient';
import {RPC_CODES} from '../rpc/peerServer';
import type {ClientSettings} from '../settings/settings';
import type {
  ClusterStatus,
  ControlClient,
  RulesAnswer,
  SilentInstance,
  StatusAnswer,
  UsageAnswer,
} from './controlClient';
import {ControlUnavailableError} from './controlClient';
import {mergeStatus} from './mergeStatus';

/** Name under which the client proves that it holds the shared secret. */
const CLIENT_IDENTITY = 'operator';
/** Wait before asking all instances again, as an election takes a moment. */
const RETRY_EVERY_MS = 300;
/** Rounds over all instances before a submission is given up. */
const SUBMIT_ROUNDS = 10;

/** Methods of a control instance that the client calls. */
export const CONTROL_METHODS = {
  submit: 'submit',
  status: 'status',
  rules: 'rules',
  usage: 'usage',
} as const;

type ControlMethod = keyof typeof CONTROL_METHODS;

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
  async submit(text: string, submittedBy: string): Promise<SubmitResult> {
    const faults = new Faults();
    for (let round = 0; round < this.submitRounds; round++) {
      if (round > 0) await firstValueFrom(timer(RETRY_EVERY_MS));
      const params = {text, submittedBy};
      const result = await this.firstAnswer<SubmitResult>(
        'submit',
        params,
        faults
      );
      if (result !== undefined) return result;
    }
    throw this.unavailable('submit', faults);
  }

  async status(): Promise<ClusterStatus> {
    const calls = this.peers.map(peer =>
      peer.call<StatusAnswer>(CONTROL_METHODS.status, {}, this.timeoutMs)
    );
    const results = await Promise.allSettled(calls);
    const faults = new Faults();
    for (const [index, result] of results.entries())
      if (result.status === 'rejected')
        faults.add(this.peers[index]?.address.id ?? '', result.reason);
    const answers = settledValues(results);
    if (answers.length === 0) throw this.unavailable('status', faults);
    return mergeStatus(answers, faults.list());
  }

  rules(): Promise<RulesAnswer> {
    return this.read<RulesAnswer>('rules');
  }

  usage(): Promise<UsageAnswer> {
    return this.read<UsageAnswer>('usage');
  }

  close(): void {
    this.agent.destroy();
  }

  private async read<R>(method: ControlMethod): Promise<R> {
    const faults = new Faults();
    const answer = await this.firstAnswer<R>(method, {}, faults);
    if (answer === undefined) throw this.unavailable(method, faults);
    return answer;
  }

  private async firstAnswer<R>(
    method: ControlMethod,
    params: unknown,
    faults: Faults
  ): Promise<R | undefined> {
    for (const peer of this.peers) {
      try {
        return await peer.call<R>(
          CONTROL_METHODS[method],
          params,
          this.timeoutMs
        );
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
