import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import type {InboundOptions} from '../src/inbound/inbound';
import type {RequestHandler} from '../src/inbound/serverGuard';
import {openInbound} from './fixtures/openInbound';
import {readUntilClosed, sendBytes} from './fixtures/rawCalls';
import {onCleanup, runCleanups} from './fixtures/targets';
import {eventually} from './fixtures/testSystem';

afterEach(runCleanups);

let limited: string[];
beforeEach(() => (limited = []));

async function listen(
  handler: RequestHandler,
  options: Partial<InboundOptions> = {}
): Promise<number> {
  const server = http.createServer();
  const countLimited: InboundOptions['countLimited'] = (port, reason) =>
    limited.push(`${port} ${reason}`);
  openInbound({countLimited, ...options})
    .guard('callers', handler)
    .attach(server);
  await once(server.listen(0, '127.0.0.1'), 'listening');
  onCleanup(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

const GET = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';
const LAST_GET =
  'GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n';
const echo: RequestHandler = (req, res) => {
  res.end(req.url);
};

describe('requests in a row on one connection', () => {
  it('should be answered in order, and a few at a time', async () => {
    let inProgress = 0;
    let most = 0;
    let count = 0;
    const port = await listen(
      (_req, res) => {
        most = Math.max(most, ++inProgress);
        const number = count++;
        setImmediate(() => {
          inProgress--;
          res.end(`<${number}>`);
        });
      },
      {requestsPerConnection: 4}
    );
    const text = await sendBytes(port, GET.repeat(20) + LAST_GET);
    const numbers = [...text.matchAll(/<(\d+)>/g)].map(([, n]) => Number(n));
    expect(numbers).toEqual(Array.from({length: 21}, (_, i) => i));
    expect(most).toBeLessThanOrEqual(4);
    expect(limited).toEqual([]);
  });

  // Each request was begun, with its state, before the first had its response.
  it('should close the connection when far too many come at once', async () => {
    const port = await listen(() => undefined);
    await sendBytes(port, GET.repeat(500));
    expect(limited).toEqual(['callers requests']);
  });

  it('should close the connection when they take the memory', async () => {
    const machine = {memoryBytes: 1 << 20, descriptors: 4_096};
    const port = await listen(() => undefined, {machine});
    await sendBytes(port, GET.repeat(20));
    expect(limited).toEqual(['callers memory']);
  });
});

describe('the body of a request that was answered without it', () => {
  const refuse: RequestHandler = (_req, res) => {
    res.writeHead(404, {'content-length': 2}).end('no');
  };
  const post = (framing: string) =>
    `POST / HTTP/1.1\r\nHost: a.example\r\n${framing}\r\n\r\n`;

  it('should leave the connection to the next request if it is small', async () => {
    const port = await listen((req, res) =>
      (req.method === 'POST' ? refuse : echo)(req, res)
    );
    const body = 'x'.repeat(1_000);
    const text = await sendBytes(
      port,
      `${post('Content-Length: 1000')}${body}${LAST_GET}`
    );
    expect(text.match(/HTTP\/1\.1 \d+/g)).toEqual([
      'HTTP/1.1 404',
      'HTTP/1.1 200',
    ]);
    expect(limited).toEqual([]);
  });

  // It was read to its end, however long that was, and beyond any time.
  it.each([
    ['that is announced', post('Content-Length: 100000000')],
    ['in chunks', post('Transfer-Encoding: chunked')],
    ['that stops short', `${post('Content-Length: 10')}x`],
  ])('should end with its connection: %s', async (_name, head) => {
    const port = await listen(refuse);
    const {text} = await readUntilClosed(port, head);
    expect(text).toContain('HTTP/1.1 404');
    expect(limited).toEqual(['callers unreadBody']);
  });

  // A reset overtook the response.
  it('should not keep the response from a client that still sends', async () => {
    const port = await listen(refuse);
    const chunk = `4000\r\n${'x'.repeat(16_384)}\r\n`;
    const socket = net.connect(port, '127.0.0.1');
    let text = '';
    socket.on('data', data => (text += String(data)));
    socket.on('error', () => undefined);
    socket.write(post('Transfer-Encoding: chunked'));
    const timer = setInterval(() => socket.write(chunk), 1);
    await once(socket, 'close');
    clearInterval(timer);
    expect(text).toContain('HTTP/1.1 404');
  });
});

// Connections were accepted until the process had no descriptors left.
describe('too many connections', () => {
  /** Leaves 16 connections to the port. */
  const options = {machine: {memoryBytes: 1 << 30, descriptors: 230}};

  async function open(port: number, bytes = ''): Promise<net.Socket> {
    const socket = net.connect(port, '127.0.0.1');
    socket.on('error', () => undefined).resume();
    await once(socket, 'connect');
    socket.write(bytes);
    onCleanup(() => socket.destroy());
    return socket;
  }

  it('should close the oldest without a request first', async () => {
    const port = await listen(echo, options);
    const idle = await open(port, GET);
    await once(idle, 'data');
    const headless = [];
    for (let i = 0; i < 15; i++) headless.push(await open(port));
    expect(limited).toEqual([]);
    const closed = once(headless[0]!, 'close');
    const another = await open(port, GET);
    await once(another, 'data');
    await closed;
    expect(limited).toEqual(['callers connections']);
    expect(idle.destroyed).toBe(false);
  });

  it('should close the one that was idle for the longest', async () => {
    const port = await listen(echo, options);
    const idle = [];
    for (let i = 0; i < 16; i++) {
      idle.push(await open(port, GET));
      await once(idle[i]!, 'data');
    }
    idle[0]!.write(GET);
    await once(idle[0]!, 'data');
    const closed = once(idle[1]!, 'close');
    await once(await open(port, GET), 'data');
    await closed;
  });

  it('should refuse a new one while all others are in use', async () => {
    let begun = 0;
    const port = await listen(() => begun++, options);
    for (let i = 0; i < 16; i++) await open(port, GET);
    await eventually('16 requests', async () => begun === 16);
    const surplus = await open(port);
    await once(surplus, 'close');
    expect(begun).toBe(16);
  });
});
