/** Control client over JSON-RPC that tries one instance after another. */

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
} from '../core/operatorMessages';
import {METHODS} from '../rpc/messages';
import {createPeerHttpsAgent, PeerClient} from '../rpc/peerClient';
import {RPC_CODES} from '../rpc/peerServer';
import type {ClientSettings} from '../settings/settings';
import {CallFaults} from './callFaults';
import type {ClusterStatus, ControlClient} from './controlClient';
import {ControlUnavailableError} from './controlClient';
import {mergeStatus} from './mergeStatus';

/** Identity under which the client authenticates with the shared secret. */
const CLIENT_IDENTITY = 'operator';
/** Delay between two rounds over all instances, to let an election finish. */
const RETRY_DELAY_MS = 300;
/** Upper bound for one status query. */
const STATUS_TIMEOUT_MS = 1000;
/**
 * Time that the other instances have to reply once a majority has, so that a
 * frozen instance does not delay the command.
 */
const STRAGGLER_TIMEOUT_MS = 500;
/**
 * First rounds, which skip unresponsive instances; they last long enough for an
 * election.
 */
const ROUNDS_SKIPPING_UNRESPONSIVE = 5;
/** Rounds over all instances after which a submission fails. */
const MAX_SUBMIT_ROUNDS = 10;

/**
 * Whether every instance would reject the call: the parameters, such as the
 * submitted file, are invalid.
 */
function isPermanentRejection(err: unknown): boolean {
  if (!(err instanceof PeerError) || err.fault.kind !== 'rejected')
    return false;
  return err.fault.code === RPC_CODES.invalidParams;
}

/** Result of the status query to one instance. */
interface StatusProbe {
  readonly peer: PeerClient;
  readonly result: StatusAnswer | PeerError;
}

/**
 * Sort key: the leader first, then the other responsive instances, then the
 * rest.
 */
function callOrder({result}: StatusProbe): number {
  if (result instanceof PeerError) return 2;
  return result.instance.role === 'leader' ? 0 : 1;
}

function stragglerProbe(peer: PeerClient): StatusProbe {
  const {id} = peer.address;
  const detail = `no answer ${STRAGGLER_TIMEOUT_MS} ms after most others`;
  const fault = {kind: 'timeout'} as const;
  return {peer, result: new PeerError(fault, METHODS.status, id, detail)};
}

/** Client of the control instances listed in the client's settings. */
export class RpcControlClient implements ControlClient {
  private readonly agent: Agent;
  private readonly peers: readonly PeerClient[];
  private readonly timeoutMs: number;

  constructor(
    cfg: ClientSettings,
    private readonly maxSubmitRounds = MAX_SUBMIT_ROUNDS
  ) {
    this.agent = createPeerHttpsAgent(cfg.internal.key, CLIENT_IDENTITY);
    this.peers = cfg.control.instances.map(
      address => new PeerClient(address, this.agent)
    );
    this.timeoutMs = cfg.control.timeoutMs;
  }

  /**
   * Retries after any failure except invalid parameters. A submission is
   * idempotent by revision and text: a repeated one gets the result of the
   * first.
   */
  async submit(text: string): Promise<SubmitAnswer> {
    const faults = new CallFaults();
    for (let round = 0; round < this.maxSubmitRounds; round++) {
      if (round > 0) await firstValueFrom(timer(RETRY_DELAY_MS));
      const answer = await this.callFirstAvailable<SubmitAnswer>(
        METHODS.submit,
        {text},
        faults,
        round >= ROUNDS_SKIPPING_UNRESPONSIVE
      );
      if (answer !== undefined) return answer;
    }
    throw this.unavailableError(METHODS.submit, faults);
  }

  async status(): Promise<ClusterStatus> {
    const answers: StatusAnswer[] = [];
    const faults = new CallFaults();
    for (const {result} of await this.probeAll()) {
      if (result instanceof PeerError) faults.recordProbeFailure(result);
      else answers.push(result);
    }
    if (answers.length === 0)
      throw this.unavailableError(METHODS.status, faults);
    return mergeStatus(answers, faults.list());
  }

  async usage(): Promise<UsageAnswer> {
    const faults = new CallFaults();
    const answer = await this.callFirstAvailable<UsageAnswer>(
      METHODS.usage,
      {},
      faults,
      false
    );
    if (answer === undefined)
      throw this.unavailableError(METHODS.usage, faults);
    return answer;
  }

  close(): void {
    this.agent.destroy();
  }

  /**
   * Calls one instance after another, the leader first, until one replies.
   * Unresponsive instances are skipped or come last: a frozen leader would cost
   * the whole timeout, and the others elect a new leader in less time.
   */
  private async callFirstAvailable<R>(
    method: string,
    params: unknown,
    faults: CallFaults,
    includeUnresponsive: boolean
  ): Promise<R | undefined> {
    const probes = [...(await this.probeAll())];
    probes.sort((a, b) => callOrder(a) - callOrder(b));
    for (const {peer, result} of probes) {
      if (result instanceof PeerError) faults.recordProbeFailure(result);
      if (result instanceof PeerError && !includeUnresponsive) continue;
      try {
        return await peer.call<R>(method, params, this.timeoutMs);
      } catch (err) {
        if (isPermanentRejection(err)) throw err;
        faults.recordCallFailure(err);
      }
    }
    return undefined;
  }

  /**
   * Queries the status of all instances; one that is much later than a majority
   * counts as timed out.
   */
  private async probeAll(): Promise<readonly StatusProbe[]> {
    const probeByPeer = new Map<PeerClient, StatusProbe>();
    const majority = Math.floor(this.peers.length / 2) + 1;
    const probes = from(this.peers).pipe(
      mergeMap(peer => this.probe(peer)),
      tap(probe => probeByPeer.set(probe.peer, probe)),
      share()
    );
    const stragglerDeadline = probes.pipe(
      filter(probe => !(probe.result instanceof PeerError)),
      skip(majority - 1),
      take(1),
      delay(STRAGGLER_TIMEOUT_MS)
    );
    await lastValueFrom(probes.pipe(takeUntil(stragglerDeadline)), {
      defaultValue: undefined,
    });
    return this.peers.map(
      peer => probeByPeer.get(peer) ?? stragglerProbe(peer)
    );
  }

  private async probe(peer: PeerClient): Promise<StatusProbe> {
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

  private unavailableError(
    method: string,
    faults: CallFaults
  ): ControlUnavailableError {
    return new ControlUnavailableError(
      method,
      faults.list(),
      faults.mayHaveTakenEffect
    );
  }
}
