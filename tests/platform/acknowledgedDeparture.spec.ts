import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  announcement,
  announcementPath,
  documentText,
} from '../../platform/counterpart';
import {Nodes, call} from '../fixtures/nodeCluster';
import {eventually} from '../fixtures/testSystem';

const IPS = ['127.0.0.61', '127.0.0.62', '127.0.0.63'] as const;
const OK = 200;
const UNAVAILABLE = 503;
const HOST = 'leaving.example';
/** The port that `deploy/node.ini` sets. */
const METRICS_PORT = 9464;

// The target relies on the acknowledgement and ends soon. Only the leader's memory had
// the departure when the leader itself had acknowledged it.
describe('a departure that the leader acknowledged', () => {
  let nodes: Nodes;
  let target: http.Server;

  beforeEach(async () => {
    nodes = new Nodes([...IPS]);
    await nodes.choosePorts();
    for (const ip of IPS) nodes.start(ip, true);
    target = http.createServer((req, res) => {
      res.setHeader('x-attempt-id', String(req.headers['x-attempt-id']));
      res.setHeader('x-response-seal', 'seal');
      res.end('served');
    });
    await new Promise<void>(done => target.listen(0, '127.0.0.1', done));
    await nodes.order(IPS[0], 'PUT', '/-/config', documentText(1, HOST, 's'));
    await nodes.order(IPS[0], 'PUT', announcementPath('i-1'), textOf(1));
    for (const ip of IPS)
      await eventually('it serves', async () => (await statusAt(ip)) === OK);
  }, 30_000);
  afterEach(async () => {
    target.close();
    await nodes.stop();
  });

  function textOf(sequence: number): string {
    const {port} = target.address() as AddressInfo;
    return announcement('s', `127.0.0.1:${port}`, 1, sequence);
  }

  async function statusAt(ip: string): Promise<number> {
    const headers = {host: HOST, 'x-attempt-id': 'one'};
    const {callers} = nodes.ports;
    return (await call(ip, callers, 'GET', '/i/x', '', headers)).status;
  }

  function leader(): Promise<string> {
    return eventually('a leader', async () => {
      for (const ip of IPS) {
        const {body} = await call(ip, METRICS_PORT, 'GET', '/metrics');
        if (/^marlpulley_leads 1$/m.test(body)) return ip;
      }
      return '';
    });
  }

  async function isLeftAlone(ips: readonly string[]): Promise<boolean> {
    const statuses = await Promise.all(ips.map(statusAt));
    return statuses.every(status => status === UNAVAILABLE);
  }

  it.each([
    ['DELETE', (): string => ''],
    ['PUT', () => textOf(2).replace('"ready"', '"draining"')],
  ])(
    'should outlast the process of the leader: %s',
    async (method, body) => {
      const leading = await leader();
      const others = IPS.filter(ip => ip !== leading);
      await nodes.order(leading, method, announcementPath('i-1'), body());
      await nodes.kill(leading);
      nodes.start(leading, false);
      const [other = ''] = others;
      await nodes.order(other, 'PUT', '/-/config', documentText(2, HOST, 's'));
      await eventually('the target is left alone', () => isLeftAlone(others));
      // A late announcement of the same boot brings nothing back.
      if (method === 'DELETE')
        await nodes.order(other, 'PUT', announcementPath('i-1'), textOf(9));
      await nodes.order(other, 'PUT', '/-/config', documentText(3, HOST, 's'));
      expect(await isLeftAlone(others)).toBe(true);
    },
    30_000
  );

  it('should not be acknowledged for a target that nobody knows', async () => {
    const {control} = nodes.ports;
    const url = announcementPath('i-unknown');
    expect((await call(IPS[1], control, 'DELETE', url)).status).toBe(404);
  });
});
