import http from 'node:http';
import type {AddressInfo} from 'node:net';
import net from 'node:net';
import {announcement, documentText} from '../../platform/counterpart';
import {Nodes, call} from '../fixtures/nodeCluster';
import {eventually} from '../fixtures/testSystem';

const [A, B, C, D] = [
  '127.0.0.31',
  '127.0.0.32',
  '127.0.0.33',
  '127.0.0.34',
] as const;
const OK = 200;
const UNAVAILABLE = 503;
const HOST = 'late.example';
/** Zone of the only target. */
const ZONE_URL = '/-/evacuations/a';

// An order that waited, while its sender gave up and repeated it at another node, must
// not undo what was ordered since.
describe('orders that were overtaken', () => {
  let nodes: Nodes;
  let target: http.Server;

  beforeAll(async () => {
    nodes = new Nodes([A, B, C]);
    await nodes.choosePorts();
    for (const ip of [A, B, C]) nodes.start(ip, true);
    nodes.start(D, true, false);
    target = http.createServer((req, res) => {
      res.setHeader('x-attempt-id', String(req.headers['x-attempt-id']));
      res.setHeader('x-response-seal', 'seal');
      res.end('served');
    });
    await new Promise<void>(done => target.listen(0, '127.0.0.1', done));
    const {port} = target.address() as AddressInfo;
    await nodes.order(A, 'PUT', '/-/config', documentText(1, HOST, 's'));
    const text = announcement('s', `127.0.0.1:${port}`, 1, 1);
    await nodes.order(A, 'PUT', '/-/instances/i-1', text);
    for (const ip of [A, B, C, D]) await untilServed(ip);
  }, 30_000);
  afterAll(async () => {
    target.close();
    await nodes.stop();
  });

  async function statusAt(ip: string): Promise<number> {
    const headers = {host: HOST, 'x-attempt-id': 'one'};
    const {callers} = nodes.ports;
    return (await call(ip, callers, 'GET', '/i/x', '', headers)).status;
  }

  function untilServed(ip: string): Promise<unknown> {
    return eventually(`${ip} serves`, async () => (await statusAt(ip)) === OK);
  }

  function untilEvacuated(ip: string): Promise<unknown> {
    return eventually(
      `${ip} knows of the evacuation`,
      async () => (await statusAt(ip)) === UNAVAILABLE
    );
  }

  /** Opens a withdrawal at a node; `bytes` are those of its head that are sent. */
  async function openWithdrawal(ip: string, bytes: string) {
    const socket = net.connect(nodes.ports.control, ip);
    socket.on('error', () => undefined);
    await new Promise<void>(done => socket.once('connect', done));
    socket.write(bytes);
    return socket;
  }

  it('should change nothing if a body that is late held them up', async () => {
    await nodes.order(A, 'POST', ZONE_URL);
    await untilEvacuated(B);
    const head = `DELETE ${ZONE_URL} HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n`;
    const late = await openWithdrawal(B, head);
    const reply = new Promise<string>(resolve =>
      late.once('data', data => resolve(String(data)))
    );
    await nodes.order(A, 'DELETE', ZONE_URL);
    await untilServed(B);
    await nodes.order(A, 'POST', ZONE_URL);
    await untilEvacuated(B);
    late.write('x');
    expect(await reply).toMatch(/^HTTP\/1\.1 503 /);
    late.destroy();
    await nodes.order(B, 'PUT', '/-/config', documentText(2, HOST, 's'));
    expect(await statusAt(A)).toBe(UNAVAILABLE);
  });

  it('should change nothing when a frozen node goes on', async () => {
    await nodes.order(A, 'POST', ZONE_URL);
    await untilEvacuated(D);
    nodes.signal(D, 'SIGSTOP');
    const given = await openWithdrawal(
      D,
      `DELETE ${ZONE_URL} HTTP/1.1\r\nHost: x\r\n\r\n`
    );
    given.end();
    await nodes.order(A, 'DELETE', ZONE_URL);
    await untilServed(A);
    await nodes.order(A, 'POST', ZONE_URL);
    nodes.signal(D, 'SIGCONT');
    await nodes.untilRefused(D, 'zone');
    expect(await statusAt(A)).toBe(UNAVAILABLE);
  });

  it('should let the next one through at the same node', async () => {
    await nodes.order(D, 'DELETE', ZONE_URL);
    for (const ip of [A, D]) await untilServed(ip);
  });
});
