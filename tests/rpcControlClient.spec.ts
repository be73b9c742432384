import * as z from 'zod';
import type {ControlUnavailableError} from '../src/cli/controlClient';
import {RpcControlClient} from '../src/cli/rpcControlClient';
import {createLogger} from '../src/core/logger';
import {Metrics} from '../src/core/metrics';
import {PeerServer, RPC_CODES, RpcFailure} from '../src/rpc/peerServer';

const SECRET = '0123456789abcdef';
const ANY = z.unknown();

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

  async function instance(
    handler: Handler,
    status: Handler = () => follower
  ): Promise<number> {
    const server = new PeerServer({
      host: '127.0.0.1',
      port: 0,
      secret: SECRET,
      logger: createLogger('control', 'c', 'fatal'),
      metrics: new Metrics('c'),
    });
    server.addMethod('submit', {params: ANY, handle: handler});
    server.addMethod('status', {params: ANY, handle: status});
    servers.push(server);
    return server.listen();
  }

  async function stoppedInstance(): Promise<number> {
    const port = await instance(() => null);
    await servers.pop()?.close();
    return port;
  }

  function clientOf(...ports: readonly number[]): RpcControlClient {
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

  function unavailable(
    call: Promise<unknown>
  ): Promise<ControlUnavailableError> {
    return call.then(
      () => Promise.reject(new Error('answered')),
      (err: ControlUnavailableError) => err
    );
  }

  const accepted = {kind: 'accepted', revision: 4, resent: false};
  const notLeader = () => {
    throw new RpcFailure(RPC_CODES.notLeader, 'ask c3');
  };

  it('should go on to the instance that leads', async () => {
    const client = clientOf(
      await stoppedInstance(),
      await instance(notLeader),
      await instance(() => accepted)
    );
    expect(await client.submit('text')).toEqual(accepted);
  });

  // The operator sees one accepted revision, not a conflict with himself: the
  // first instance takes the file, its answer is lost, and the client sends
  // the same text to the next. The same revision and text make it a resend.
  it('should send the same text again after a lost answer', async () => {
    const taken: unknown[] = [];
    const client = clientOf(
      await instance(params => {
        taken.push(params);
        return new Promise(() => undefined);
      }),
      await instance(params => {
        taken.push(params);
        return {...accepted, resent: true};
      })
    );
    expect(await client.submit('text')).toMatchObject({resent: true});
    expect(taken).toEqual([{text: 'text'}, {text: 'text'}]);
  });

  it('should know when nothing can have been taken', async () => {
    const client = clientOf(await stoppedInstance(), await instance(notLeader));
    const err = await unavailable(client.submit('text'));
    expect(err.mayHaveTakenEffect).toBe(false);
    expect(err.message).toContain('c1: ');
    expect(err.message).toContain('c2: ');
  });

  it('should own up when the file may have been taken', async () => {
    const silent = await instance(() => new Promise(() => undefined));
    const err = await unavailable(clientOf(silent).submit('text'));
    expect(err.mayHaveTakenEffect).toBe(true);
  });

  it('should not try on when the file itself is refused', async () => {
    const invalid = () => {
      throw new RpcFailure(RPC_CODES.invalidParams, 'line 3: no');
    };
    const client = clientOf(
      await instance(invalid),
      await instance(() => accepted)
    );
    await expect(client.submit('text')).rejects.toThrow('line 3: no');
  });

  // An operator would wait out the whole timeout for each file: the leader
  // freezes, no other leads yet, and the client asks the frozen one, which the
  // settings name first. It is left out until an election has had its time.
  it('should not wait for a frozen instance', async () => {
    let asked = false;
    const frozen = () => {
      asked = true;
      return new Promise(() => undefined);
    };
    const client = clientOf(
      await instance(frozen, () => new Promise(() => undefined)),
      await instance(notLeader),
      await instance(notLeader)
    );
    const err = await unavailable(client.submit('text'));
    expect(asked).toBe(false);
    expect(err.mayHaveTakenEffect).toBe(false);
    expect(err.silent.map(item => item.id).sort()).toEqual(['c1', 'c2', 'c3']);
  });

  it('should ask the leader first', async () => {
    const asked: string[] = [];
    const leader = {...follower, instance: {role: 'leader'}};
    const client = clientOf(
      await instance(() => asked.push('follower')),
      await instance(
        () => asked.push('leader'),
        () => leader
      )
    );
    await client.submit('text');
    expect(asked).toEqual(['leader']);
  });

  it('should take a failure after the proposal for an open outcome', async () => {
    const lost = () => {
      throw new Error('leadership ended before the outcome was known');
    };
    const err = await unavailable(
      clientOf(await instance(lost)).submit('text')
    );
    expect(err.mayHaveTakenEffect).toBe(true);
    expect(err.message).toContain('leadership ended');
  });

  it('should show the status of those that answer and name the rest', async () => {
    const client = clientOf(
      await stoppedInstance(),
      await instance(() => accepted)
    );
    const status = await client.status();
    expect(status.revision).toBe(4);
    expect(status.silent).toMatchObject([{id: 'c1'}]);
    expect(status.silent[0]?.reason).toMatch(/^unreachable: /);
  });
});
