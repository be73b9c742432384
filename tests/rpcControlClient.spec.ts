import * as z from 'zod';
import type {ControlUnavailableError} from '../src/cli/controlClient';
import {RpcControlClient} from '../src/cli/rpcControlClient';
import {createLogger} from '../src/core/logger';
import {Metrics} from '../src/core/metrics';
import {PeerServer, RPC_CODES, RpcFailure} from '../src/rpc/peerServer';
import {openInbound} from './fixtures/openInbound';

const SECRET = '0123456789abcdef';
const ANY_PARAMS = z.unknown();

type Handler = (params: unknown) => unknown;

describe('client of control instances', () => {
  const servers: PeerServer[] = [];
  const clients: RpcControlClient[] = [];
  afterEach(async () => {
    for (const client of clients.splice(0)) client.close();
    for (const server of servers.splice(0)) await server.close();
  });

  const follower = {
    instance: {role: 'follower'},
    revision: 4,
    processes: [],
    targets: [],
  };

  async function startInstance(
    handler: Handler,
    status: Handler = () => follower
  ): Promise<number> {
    const server = new PeerServer({
      host: '127.0.0.1',
      port: 0,
      secret: SECRET,
      logger: createLogger('control', 'c', 'fatal'),
      metrics: new Metrics('c'),
      inbound: openInbound(),
    });
    server.addMethod('submit', {params: ANY_PARAMS, handle: handler});
    server.addMethod('status', {params: ANY_PARAMS, handle: status});
    servers.push(server);
    return server.listen();
  }

  async function stoppedInstancePort(): Promise<number> {
    const port = await startInstance(() => null);
    await servers.pop()?.close();
    return port;
  }

  function createClient(...ports: readonly number[]): RpcControlClient {
    const instances = ports.map((port, index) => ({
      id: `c${index + 1}`,
      host: '127.0.0.1',
      port,
    }));
    const cfg = {
      internal: {key: SECRET},
      control: {instances, timeoutMs: 400},
    };
    const client = new RpcControlClient(cfg, 1);
    clients.push(client);
    return client;
  }

  function unavailableError(
    call: Promise<unknown>
  ): Promise<ControlUnavailableError> {
    return call.then(
      () => Promise.reject(new Error('the call succeeded')),
      (err: ControlUnavailableError) => err
    );
  }

  const accepted = {kind: 'accepted', revision: 4, resent: false};
  const notLeader = () => {
    throw new RpcFailure(RPC_CODES.notLeader, 'the leader is c3');
  };

  it('should continue with the instance that leads', async () => {
    const client = createClient(
      await stoppedInstancePort(),
      await startInstance(notLeader),
      await startInstance(() => accepted)
    );
    expect(await client.submit('text')).toEqual(accepted);
  });

  // Guards against an operator conflicting with their own submission: the first
  // instance accepts the file, its reply is lost, and the client sends the same
  // text to the next. The same revision and text make it a resend.
  it('should send the same text again after a lost reply', async () => {
    const received: unknown[] = [];
    const client = createClient(
      await startInstance(params => {
        received.push(params);
        return new Promise(() => undefined);
      }),
      await startInstance(params => {
        received.push(params);
        return {...accepted, resent: true};
      })
    );
    expect(await client.submit('text')).toMatchObject({resent: true});
    expect(received).toEqual([{text: 'text'}, {text: 'text'}]);
  });

  it('should report when no instance can have accepted the file', async () => {
    const client = createClient(
      await stoppedInstancePort(),
      await startInstance(notLeader)
    );
    const err = await unavailableError(client.submit('text'));
    expect(err.mayHaveTakenEffect).toBe(false);
    expect(err.message).toContain('c1: ');
    expect(err.message).toContain('c2: ');
  });

  it('should report that the file may have been accepted', async () => {
    const silent = await startInstance(() => new Promise(() => undefined));
    const err = await unavailableError(createClient(silent).submit('text'));
    expect(err.mayHaveTakenEffect).toBe(true);
  });

  it('should not retry when the file itself is rejected', async () => {
    const invalid = () => {
      throw new RpcFailure(RPC_CODES.invalidParams, 'line 3: no');
    };
    const client = createClient(
      await startInstance(invalid),
      await startInstance(() => accepted)
    );
    await expect(client.submit('text')).rejects.toThrow('line 3: no');
  });

  // Guards against waiting the whole timeout for each file: the leader is frozen,
  // no other leads yet, and the client calls the frozen one, which is first in
  // the settings. It must be skipped until an election had time to finish.
  it('should not wait for a frozen instance', async () => {
    let called = false;
    const frozen = () => {
      called = true;
      return new Promise(() => undefined);
    };
    const client = createClient(
      await startInstance(frozen, () => new Promise(() => undefined)),
      await startInstance(notLeader),
      await startInstance(notLeader)
    );
    const err = await unavailableError(client.submit('text'));
    expect(called).toBe(false);
    expect(err.mayHaveTakenEffect).toBe(false);
    expect(err.silent.map(item => item.id).sort()).toEqual(['c1', 'c2', 'c3']);
  });

  it('should call the leader first', async () => {
    const called: string[] = [];
    const leader = {...follower, instance: {role: 'leader'}};
    const client = createClient(
      await startInstance(() => called.push('follower')),
      await startInstance(
        () => called.push('leader'),
        () => leader
      )
    );
    await client.submit('text');
    expect(called).toEqual(['leader']);
  });

  it('should take a failure after the proposal for an open outcome', async () => {
    const lost = () => {
      throw new Error('leadership ended before the outcome was known');
    };
    const err = await unavailableError(
      createClient(await startInstance(lost)).submit('text')
    );
    expect(err.mayHaveTakenEffect).toBe(true);
    expect(err.message).toContain('leadership ended');
  });

  it('should show the status of those that reply and name the rest', async () => {
    const client = createClient(
      await stoppedInstancePort(),
      await startInstance(() => accepted)
    );
    const status = await client.status();
    expect(status.revision).toBe(4);
    expect(status.silent).toMatchObject([{id: 'c1'}]);
    expect(status.silent[0]?.reason).toMatch(/^unreachable: /);
  });
});
