import {randomBytes} from 'node:crypto';
import {DOCUMENT_PATH, documentText} from '../../platform/counterpart';
import {Nodes, call} from '../fixtures/nodeCluster';

const IPS = ['127.0.0.85', '127.0.0.86', '127.0.0.87', '127.0.0.88'] as const;
const [A, B, C, D] = IPS;
const HOST = 'large.example';
const OK = 200;
const TOO_LARGE = 413;
const MIB = 1 << 20;
/** Heap of the deployed process. */
const EXEC_ARGS = ['--max-old-space-size=160'];

const PACKS_BADLY = () => randomBytes(96).toString('base64url');
const PACKS_WELL = (i: number) => String(i);

/** A valid document of at most this size, with as many routes as it takes. */
function documentOf(
  version: number,
  bytes: number,
  nameOf: (i: number) => string
): string {
  const document = JSON.parse(documentText(version, HOST, 's')) as {
    routes: {name: string; pathPrefix: string}[];
  };
  const [route] = document.routes;
  for (let size = JSON.stringify(document).length; ;) {
    const i = document.routes.length;
    const added = {...route!, name: nameOf(i), pathPrefix: `/${nameOf(i)}/`};
    size += JSON.stringify(added).length + 1;
    if (size > bytes) return JSON.stringify(document);
    document.routes.push(added);
  }
}

describe('documents that are too large', () => {
  let nodes: Nodes;

  beforeAll(async () => {
    nodes = new Nodes([A, B, C], {execArgs: EXEC_ARGS});
    await nodes.choosePorts();
    for (const ip of [A, B, C]) nodes.start(ip, true);
    nodes.start(D, true, false);
    await nodes.order(A, 'PUT', DOCUMENT_PATH, documentText(1, HOST, 's'));
  }, 30_000);
  afterAll(() => nodes.stop());

  function put(ip: string, text: string) {
    return call(ip, nodes.ports.control, 'PUT', DOCUMENT_PATH, text);
  }

  // One of 14 MB ended the leader, and others left the nodes without one for seconds.
  it('should be refused by any node, and stop no other change', async () => {
    const large = documentOf(2, 14 * MIB, PACKS_BADLY);
    for (const ip of IPS) {
      const {status, body} = await put(ip, large);
      expect(status).toBe(TOO_LARGE);
      expect(body).toMatch(/limit is \d+/);
    }
    for (const [i, ip] of IPS.entries()) {
      const {status} = await put(ip, documentText(3 + i, HOST, 's'));
      expect(status).toBe(OK);
    }
    expect(IPS.filter(ip => nodes.isAlive(ip))).toEqual(IPS);
  }, 60_000);

  it('should name the limit if they are small but pack badly', async () => {
    const {status, body} = await put(A, documentOf(9, 7.5 * MIB, PACKS_BADLY));
    expect(status).toBe(TOO_LARGE);
    expect(body).toMatch(/limit is \d+ bytes packed/);
  });

  // Nodes of 350 MB hold it several times while they send it to each other.
  it.each([
    ['packed', 10, 4.8 * MIB, PACKS_BADLY],
    ['as they are read', 20, 7.9 * MIB, PACKS_WELL],
  ])(
    'should be in force everywhere up to the limit %s',
    async (_what, first, bytes, names) => {
      for (let version = first; version < first + 4; version++) {
        const text = documentOf(version, bytes, names);
        await nodes.order(B, 'PUT', DOCUMENT_PATH, text);
      }
      for (const ip of IPS) await nodes.untilApplied(ip, first + 3);
      expect(IPS.filter(ip => nodes.isAlive(ip))).toEqual(IPS);
    },
    60_000
  );
});
