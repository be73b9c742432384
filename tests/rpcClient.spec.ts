import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {RpcClient} from '../src/cluster/rpcClient';
import {PeerError} from '../src/core/errors';

const HOST = '127.0.0.1';

/** A server on a port of the kernel's choice. */
async function listen(handle: http.RequestListener) {
  const server = http.createServer(handle);
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  return {server, port: (server.address() as AddressInfo).port};
}

/** The fault of a call that the server handles so. */
async function faultOf(
  handle: http.RequestListener | 'closed',
  timeoutMs = 60_000
) {
  const isClosed = handle === 'closed';
  const {server, port} = await listen(isClosed ? () => {} : handle);
  if (isClosed) await new Promise(resolve => server.close(resolve));
  const rpc = new RpcClient(port);
  try {
    const err: unknown = await rpc.call(HOST, 'hello', {}, timeoutMs).then(
      () => undefined,
      caught => caught
    );
    if (!(err instanceof PeerError)) throw err;
    expect(err.message).toMatch(`hello: ${HOST}: ${err.fault.kind}: `);
    return err.fault;
  } finally {
    rpc.close();
    server.closeAllConnections();
    server.close();
  }
}

/** A JSON-RPC error reply. */
const replyError: http.RequestListener = (req, res) =>
  req.on('data', chunk => {
    const {id} = JSON.parse(String(chunk)) as {id: number};
    const error = {code: 7, message: 'no log here'};
    res.end(JSON.stringify({jsonrpc: '2.0', id, error}));
  });

describe('a call to another node', () => {
  // Each failure looked like an error that the peer had replied with, so that logs
  // could not tell a lost machine from one that refuses.
  it('should keep apart why it failed', async () => {
    const refused = {kind: 'unreachable', refusedByHost: true};
    expect(await faultOf('closed')).toEqual(refused);
    expect(await faultOf(() => {}, 20)).toEqual({kind: 'timeout'});
    expect(await faultOf(req => req.destroy())).toEqual({kind: 'lost'});
    expect(await faultOf((_req, res) => res.end('no JSON'))).toEqual({
      kind: 'lost',
    });
    const rejected = {kind: 'rejected', code: 7};
    expect(await faultOf(replyError)).toEqual(rejected);
    expect(
      await faultOf((_req, res) => res.writeHead(500).end())
    ).toMatchObject({kind: 'rejected', code: 500});
  });
});
