import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {Subscription, interval} from 'rxjs';
import {
  DOCUMENT_PATH,
  ECHO_HEADER,
  SEAL_HEADER,
  announcement,
  announcementPath,
  callerHeaders,
  documentText,
} from '../../platform/counterpart';
import {Nodes, call} from '../fixtures/nodeCluster';
import {eventually} from '../fixtures/testSystem';

const IPS = ['127.0.0.91', '127.0.0.92', '127.0.0.93', '127.0.0.94'] as const;
const [A, B, C, D] = IPS;
const HOST = 'odd.example';
const OK = 200;
const BAD_REQUEST = 400;
const HEARTBEAT_MS = 600;
const DAY_MS = 86_400_000;
const MIB = 1 << 20;

// Another writer leaves one odd announcement among those of a sound target.
describe('odd announcements', () => {
  let nodes: Nodes;
  let target: http.Server;
  let sequence = 0;
  const bornMs = Date.now();
  const subscription = new Subscription();

  beforeAll(async () => {
    nodes = new Nodes([A, B, C], {
      execArgs: ['--max-old-space-size=160'],
      values: {heartbeatMs: String(HEARTBEAT_MS)},
    });
    await nodes.choosePorts();
    for (const ip of [A, B, C]) nodes.start(ip, true);
    nodes.start(D, true, false);
    target = http.createServer((req, res) => {
      res.setHeader(ECHO_HEADER, String(req.headers[ECHO_HEADER]));
      res.setHeader(SEAL_HEADER, 'seal');
      res.end('served');
    });
    await new Promise<void>(done => target.listen(0, '127.0.0.1', done));
    await nodes.order(A, 'PUT', DOCUMENT_PATH, documentText(1, HOST, 's'));
    subscription.add(
      interval(HEARTBEAT_MS).subscribe(() => {
        const text = announcement('s', address(), bornMs, ++sequence);
        announce(D, 'i-1', text).catch(() => undefined);
      })
    );
    await untilServed();
  }, 30_000);
  afterAll(async () => {
    subscription.unsubscribe();
    target.close();
    await nodes.stop();
  });

  function address(): string {
    return `127.0.0.1:${(target.address() as AddressInfo).port}`;
  }

  function announce(ip: string, id: string, text: string) {
    const path = announcementPath(id);
    return call(ip, nodes.ports.control, 'PUT', path, text);
  }

  async function statusAt(ip: string): Promise<number> {
    const headers = callerHeaders('one', HOST, 1_000);
    const {callers} = nodes.ports;
    return (await call(ip, callers, 'GET', '/i/x', '', headers)).status;
  }

  async function untilServed(): Promise<void> {
    for (const ip of IPS)
      await eventually(`${ip} serves`, async () => (await statusAt(ip)) === OK);
  }

  it('should be refused with a start that is far ahead', async () => {
    const odd = announcement('s', '127.0.0.1:9', Date.now() + DAY_MS, 1);
    const {status, body} = await announce(A, 'i-1', odd);
    expect(status).toBe(BAD_REQUEST);
    expect(body).toMatch(/born: .*\d ms ahead/);
    for (const ip of IPS) expect(await statusAt(ip)).toBe(OK);
  });

  it.each([
    ['a start ahead', 'i-1', 's', 60_000, 1],
    ['a start ahead and another service', 'i-1', 't', 90_000, 1],
    ['a sequence number ahead', 'i-1', 's', 0, Number.MAX_SAFE_INTEGER],
    ['another id', 'i-2', 't', 60_000, 1],
  ])(
    'should not shut a sound target out for good: %s',
    async (_what, id, service, aheadMs, number) => {
      const odd = announcement(service, address(), bornMs + aheadMs, number);
      expect((await announce(A, id, odd)).status).toBe(OK);
      await eventually('the leader has it silenced', async () => {
        const statuses = await Promise.all(IPS.map(statusAt));
        return statuses.some(status => status !== OK);
      });
      await untilServed();
    },
    60_000
  );

  it('should be refused with long texts, and end no node', async () => {
    for (let i = 0; i < 130; i++) {
      const odd = JSON.stringify({
        ...(JSON.parse(announcement('t', '127.0.0.1:9', 1, 1)) as object),
        zone: 'z'.repeat(MIB),
      });
      const ip = IPS[i % IPS.length]!;
      await announce(ip, `odd-${i}`, odd).catch(() => undefined);
    }
    await untilServed();
    expect(IPS.filter(ip => nodes.isAlive(ip))).toEqual(IPS);
  }, 60_000);
});
