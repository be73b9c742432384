import http from 'node:http';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import {runQuarantine} from '../src/cli/quarantineCommand';
import {RpcClient} from '../src/cluster/rpcClient';
import {sendUpstream} from '../src/core/upstream';
import {callRank} from '../src/ranks/rankClient';
import {PeerClient, createPeerHttpsAgent} from '../src/rpc/peerClient';
import {serverTls} from '../src/rpc/peerTls';
import {
  createAdapter,
  neverAborted,
  onCleanup,
  runCleanups,
} from './fixtures/targets';

const HOST = '127.0.0.1';
const SECRET = 'a shared secret';
const TIMEOUT_MS = 10_000;
/** A sound body for every client. */
const BODY = {parts: [], suspects: [], requests: [], jsonrpc: '2.0', result: 1};

afterEach(async () => {
  jest.restoreAllMocks();
  await runCleanups();
});

/** Whether a client accepts what the server at a port replies. */
type Accepts = (port: number) => Promise<boolean>;

async function callsWithoutError(call: () => Promise<unknown>) {
  return call().then(
    () => true,
    () => false
  );
}

const callAsRanks: Accepts = async port => {
  let wasNoted = false;
  const noteHead = () => void (wasNoted = true);
  const call = {method: 'GET', path: '/'} as const;
  const address = `${HOST}:${port}`;
  const answer = await callRank(address, call, TIMEOUT_MS, noteHead);
  expect(wasNoted).toBe(answer !== undefined);
  return answer !== undefined;
};

const callAsNode: Accepts = async port => {
  const client = new RpcClient(port);
  onCleanup(() => client.close());
  return callsWithoutError(() => client.call(HOST, 'm', {}, TIMEOUT_MS));
};

const callAsPeer: Accepts = async port => {
  const agent = createPeerHttpsAgent(SECRET, 'peer');
  onCleanup(() => agent.destroy());
  const client = new PeerClient({id: 'p', host: HOST, port}, agent);
  return callsWithoutError(() => client.call('m', {}, TIMEOUT_MS));
};

function dispatchOver(isSecure: boolean): Accepts {
  return async port => {
    const agent = isSecure && createPeerHttpsAgent(SECRET, 'entry');
    if (agent !== false) onCleanup(() => agent.destroy());
    return callsWithoutError(() =>
      sendUpstream({
        secure: isSecure,
        host: HOST,
        port,
        agent,
        method: 'POST',
        path: '/',
        headers: ['host', HOST],
        body: undefined,
        signal: neverAborted,
      })
    );
  };
}

const checkHealth: Accepts = async port => {
  const adapter = createAdapter('service', port, '/health');
  return callsWithoutError(() => adapter.observe(neverAborted));
};

const callAsOperator: Accepts = async port => {
  jest.spyOn(process.stdout, 'write').mockReturnValue(true);
  jest.spyOn(process.stderr, 'write').mockReturnValue(true);
  return (await runQuarantine([`${HOST}:${port}`])) === 0;
};

const CLIENTS: readonly [string, Accepts, {isSecure: boolean}][] = [
  ['a request of an agent', dispatchOver(false), {isSecure: false}],
  ['a dispatch to an agent', dispatchOver(true), {isSecure: true}],
  ['a call to a rank', callAsRanks, {isSecure: false}],
  ['a call to a node', callAsNode, {isSecure: false}],
  ['a call to a peer', callAsPeer, {isSecure: true}],
  ['a health check', checkHealth, {isSecure: false}],
  ['a command of operators', callAsOperator, {isSecure: false}],
];

/** Starts a server that replies with this status line and these fields. */
async function startServer(isSecure: boolean, head: string): Promise<number> {
  const reply = (req: http.IncomingMessage) => {
    let text = '';
    req.on('data', part => (text += String(part)));
    req.on('end', () => {
      const {id = 0} = JSON.parse(text || '{}') as {id?: number};
      const body = JSON.stringify({...BODY, id});
      req.socket.end(
        `${head}\r\nContent-Length: ${body.length}\r\n\r\n${body}`
      );
    });
  };
  const server = isSecure
    ? https.createServer(serverTls(SECRET), reply)
    : http.createServer(reply);
  await new Promise<void>(done => server.listen(0, HOST, done));
  onCleanup(() => {
    server.closeAllConnections();
    return new Promise(done => server.close(done));
  });
  return (server.address() as AddressInfo).port;
}

// Only some clients checked heads, and only what the parser of the runtime had made of
// them: a malformed reply counted as one of its peer.
describe.each(CLIENTS)('%s', (_name, accepts, {isSecure}) => {
  it('should accept a sound reply', async () => {
    const port = await startServer(isSecure, 'HTTP/1.1 200 OK\r\nX-Y: 1');
    expect(await accepts(port)).toBe(true);
  });

  it.each([
    ['another protocol', 'RTSP/1.1 200 OK'],
    ['another version', 'HTTP/2.0 200 OK'],
    ['a blank in a name', 'HTTP/1.1 200 OK\r\nX Y: 1'],
    ['an empty name', 'HTTP/1.1 200 OK\r\n: 1'],
    ['CR before a name', 'HTTP/1.1 200 OK\r\n\rX: 1'],
    ['LF before a name', 'HTTP/1.1 200 OK\r\n\nX: 1'],
  ])('should fail with %s', async (_fault, head) => {
    expect(await accepts(await startServer(isSecure, head))).toBe(false);
  });
});
