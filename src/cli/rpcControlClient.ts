/** The control client over JSON-RPC, trying one instance after another. */

import type {Agent} from 'node:https';
import {
  delay,
  filter,
  firstValueFrom,
  from,
  lastValueFrom,
  mergeMap,
  share,
  skip,
  take,
  takeUntil,
  tap,
  timer,
} from 'rxjs';
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
import {CallFaults} from './callFaults';
import type {ClusterStatus, ControlClient} from './controlClient';
import {ControlUnavailableError} from './controlClient';
import {mergeStatus} from './mergeStatus';

/** Name under which the client proves that it holds the shared secret. */
const CLIENT_IDENTITY = 'operator';
/** Wait before asking all instances again, as an election takes a moment. */
const RETRY_EVERY_MS = 300;
/** Longest wait for one status. */
const STATUS_TIMEOUT_MS = 1000;
/** A frozen instance must not hold up what a majority has told. */
const LATE_AFTER_MS = 500;
/** Rounds without silent instances, long enough for an election. */
const ROUNDS_WITHOUT_SILENT = 5;
/** Rounds over all instances before a submission is given up. */
const SUBMIT_ROUNDS = 10;

/** A file that the instance cannot read is refused by all alike. */
function isFinal(err: unknown): boolean {
  if (!(err instanceof PeerError) || err.fault.kind !== 'rejected')
    return false;
  return err.fault.code === RPC_CODES.invalidParams;
}

/** One instance's word, or the fault in place of it. */
interface Heard {
  readonly peer: PeerClient;
  readonly result: StatusAnswer | PeerError;
}

/** The leader first, then those that answer, then the rest. */
function urgency({result}: Heard): number {
  if (result instanceof PeerError) return 2;
  return result.instance.role === 'leader' ? 0 : 1;
}

function lateOf(peer: PeerClient): Heard {
  const {id} = peer.address;
  const detail = `no answer ${LATE_AFTER_MS} ms after most others`;
  const fault = {kind: 'timeout'} as const;
  return {peer, result: new PeerError(fault, METHODS.status, id, detail)};
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
    const faults = new CallFaults();
    for (let round = 0; round < this.submitRounds; round++) {
      if (round > 0) await firstValueFrom(timer(RETRY_EVERY_MS));
      const answer = await this.firstAnswer<SubmitAnswer>(
        METHODS.submit,
        {text},
        faults,
        round >= ROUNDS_WITHOUT_SILENT
      );
      if (answer !== undefined) return answer;
    }
    throw this.unavailable(METHODS.submit, faults);
  }

  async status(): Promise<ClusterStatus> {
    const answers: StatusAnswer[] = [];
    const faults = new CallFaults();
    for (const {result} of await this.hearAll()) {
      if (result instanceof PeerError) faults.note(result);
      else answers.push(result);
    }
    if (answers.length === 0) throw this.unavailable(METHODS.status, faults);
    return mergeStatus(answers, faults.list());
  }

  async usage(): Promise<UsageAnswer> {
    const faults = new CallFaults();
    const answer = await this.firstAnswer<UsageAnswer>(
      METHODS.usage,
      {},
      faults,
      false
    );
    if (answer === undefined) throw this.unavailable(METHODS.usage, faults);
    return answer;
  }

  close(): void {
    this.agent.destroy();
  }

  /**
   * Asks one after another, the leader first. Those that are silent are left
   * out or come last: a frozen leader would cost the whole timeout, while the
   * others elect a new one in less.
   */
  private async firstAnswer<R>(
    method: string,
    params: unknown,
    faults: CallFaults,
    askSilent: boolean
  ): Promise<R | undefined> {
    const heard = [...(await this.hearAll())];
    heard.sort((a, b) => urgency(a) - urgency(b));
    for (const {peer, result} of heard) {
      if (result instanceof PeerError) faults.note(result);
      if (result instanceof PeerError && !askSilent) continue;
      try {
        return await peer.call<R>(method, params, this.timeoutMs);
      } catch (err) {
        if (isFinal(err)) throw err;
        faults.add(err);
      }
    }
    return undefined;
  }

  /** The status of all; who is much later than a majority counts as silent. */
  private async hearAll(): Promise<readonly Heard[]> {
    const heard = new Map<PeerClient, Heard>();
    const majority = Math.floor(this.peers.length / 2) + 1;
    const asked = from(this.peers).pipe(
      mergeMap(peer => this.hear(peer)),
      tap(item => heard.set(item.peer, item)),
      share()
    );
    const late = asked.pipe(
      filter(item => !(item.result instanceof PeerError)),
      skip(majority - 1),
      take(1),
      delay(LATE_AFTER_MS)
    );
    await lastValueFrom(asked.pipe(takeUntil(late)), {defaultValue: undefined});
    return this.peers.map(peer => heard.get(peer) ?? lateOf(peer));
  }

  private async hear(peer: PeerClient): Promise<Heard> {
    const timeoutMs = Math.min(this.timeoutMs, STATUS_TIMEOUT_MS);
    try {
      const result = await peer.call<StatusAnswer>(
        METHODS.status,
        {},
        timeoutMs
      );
      return {peer, result};
    } catch (err) {
      if (err instanceof PeerError) return {peer, result: err};
      throw err;
    }
  }

  private unavailable(
    step: string,
    faults: CallFaults
  ): ControlUnavailableError {
    return new ControlUnavailableError(
      step,
      faults.list(),
      faults.mayHaveTakenEffect
    );
  }
}
