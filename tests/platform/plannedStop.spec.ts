import http from 'node:http';
import type {AddressInfo} from 'node:net';
import net from 'node:net';
import {
  announcement,
  announcementPath,
  callerHeaders,
  DOCUMENT_PATH,
  documentText,
  ECHO_HEADER,
  SEAL_HEADER,
} from '../../platform/counterpart';
import {Nodes, call} from '../fixtures/nodeCluster';
import {eventually} from '../fixtures/testSystem';

const IP = '127.0.0.81';
const HOST = 'stop.example';
const OK = 200;
const UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const LONG_MS = 20_000;

/** The document with time limits that are longer than the grace. */
function documentWithLongTimeouts(): string {
  const document = JSON.parse(documentText(1, HOST, 's')) as {
    routes: {timeoutMs: number}[];
  };
  for (const route of document.routes) route.timeoutMs = LONG_MS;
  return JSON.stringify(document);
}

describe('a planned stop', () => {
  let nodes: Nodes;
  let target: http.Server;
  /** Requests at the target that wait for their response. */
  const held = new Map<string, http.ServerResponse>();

  beforeEach(async () => {
    nodes = new Nodes([IP]);
    await nodes.choosePorts();
    nodes.start(IP, true);
    target = http.createServer((req, res) => {
      const id = String(req.headers[ECHO_HEADER]);
      res.setHeader(ECHO_HEADER, id);
      res.setHeader(SEAL_HEADER, 'seal');
      if (id.startsWith('held')) held.set(id, res);
      else res.end(id);
    });
    await new Promise<void>(done => target.listen(0, '127.0.0.1', done));
    const {port} = target.address() as AddressInfo;
    await nodes.order(IP, 'PUT', DOCUMENT_PATH, documentWithLongTimeouts());
    const text = announcement('s', `127.0.0.1:${port}`, 1, 1);
    await nodes.order(IP, 'PUT', announcementPath('i-1'), text);
    await eventually('the node serves', async () => {
      return (await send('/o/x', 'first', 1_000)).status === OK;
    });
  }, 30_000);
  afterEach(async () => {
    held.clear();
    target.closeAllConnections();
    target.close();
    await nodes.stop();
  });

  function send(url: string, id: string, waitMs: number, agent?: http.Agent) {
    const headers = callerHeaders(id, HOST, waitMs);
    const options = {host: IP, port: nodes.ports.callers, path: url};
    return new Promise<{status: number; body: string}>((resolve, reject) => {
      const method = 'POST';
      const req = http.request(
        {...options, method, headers, agent: agent ?? false},
        res => {
          let body = '';
          res.on('data', chunk => (body += String(chunk)));
          res.on('error', reject);
          res.on('end', () => resolve({status: res.statusCode ?? 0, body}));
        }
      );
      req.on('error', reject);
      req.end();
    });
  }

  function untilHeld(id: string): Promise<unknown> {
    return eventually(`${id} is at the target`, async () => held.has(id));
  }

  /** Begins the stop; resolves once the node says that it is not ready. */
  async function stop(): Promise<void> {
    nodes.signal(IP, 'SIGTERM');
    const {ready} = nodes.ports;
    await eventually('the node is not ready', async () => {
      const {status} = await call(IP, ready, 'GET', '/-/readiness');
      return status === UNAVAILABLE;
    });
  }

  // At the end of the grace their callers got no answer, though what happened is known.
  it.each([
    ['a request that may not be repeated', '/o/x'],
    ['one that may', '/i/x'],
    ['a stream before its head', '/s/x'],
  ])('should answer what did not end in time: %s', async (_what, url) => {
    const reply = send(url, 'held', LONG_MS);
    await untilHeld('held');
    await stop();
    expect((await reply).status).toBe(BAD_GATEWAY);
  });

  it('should answer a request whose body did not end in time', async () => {
    const socket = net.connect(nodes.ports.callers, IP);
    let received = '';
    socket.on('data', data => (received += String(data)));
    const headers = Object.entries({
      ...callerHeaders('upload', HOST, LONG_MS),
      'content-length': '9',
      expect: '100-continue',
    });
    const fields = headers.map(([name, value]) => `${name}: ${value}`);
    socket.write(['POST /o/x HTTP/1.1', ...fields, '', 'begun'].join('\r\n'));
    await eventually('the node reads the body', async () =>
      received.startsWith('HTTP/1.1 100 ')
    );
    await stop();
    await eventually('the answer', async () =>
      received.includes('HTTP/1.1 503 ')
    );
    socket.destroy();
  });

  // A request that outlasts the grace was taken until three seconds into the stop.
  it('should refuse what may take longer than the grace', async () => {
    const agent = new http.Agent({keepAlive: true});
    expect((await send('/i/x', 'kept', 1_000, agent)).status).toBe(OK);
    const slow = send('/o/x', 'held-1', LONG_MS);
    await untilHeld('held-1');
    await stop();
    const reply = await send('/s/x', 'held-2', LONG_MS, agent);
    expect(reply.status).toBe(UNAVAILABLE);
    expect(held.has('held-2')).toBe(false);
    held.get('held-1')?.end('whole');
    expect(await slow).toEqual({status: OK, body: 'whole'});
    agent.destroy();
  });

  it('should take what ends in time', async () => {
    await stop();
    expect((await send('/o/x', 'limit', 500)).status).toBe(OK);
    // Requests of the route have ended within milliseconds.
    expect((await send('/o/x', 'short', LONG_MS)).status).toBe(OK);
  });

  // The response to the first one closed the connection, and the second got none.
  it('should answer both of two requests that come together', async () => {
    await stop();
    const socket = net.connect(nodes.ports.callers, IP);
    let received = '';
    socket.on('data', data => (received += String(data)));
    const head = (id: string) =>
      [
        'GET /i/x HTTP/1.1',
        ...Object.entries(callerHeaders(id, HOST, 500)).map(
          ([name, value]) => `${name}: ${value}`
        ),
        '\r\n',
      ].join('\r\n');
    socket.write(head('one') + head('two'));
    await new Promise(resolve => socket.once('close', resolve));
    expect(received.match(/HTTP\/1\.1 200 /g)).toHaveLength(2);
    expect(received).toMatch(/two$/);
  });
});
