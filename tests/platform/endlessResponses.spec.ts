import type http from 'node:http';
import {RAW_HEADS} from '../fixtures/endlessResponses';
import {floodWith} from '../fixtures/endlessResponses';
import type {CallerResponse, Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const MIB = 1 << 20;
/** Small enough for a test, and above what sockets buffer. */
const HELD_BYTES = {perResponse: 64 << 10, total: 256 << 10};
const GOOD: Handler = (_req, res) => res.end('good');

let fixture: GatewayFixture;
let closed: Promise<void>;
let sentBytes: number;
beforeEach(() => (sentBytes = 0));
afterEach(() => fixture.close());

/** Writes `head`, then `chunk` again and again until the connection closes. */
function endless(head: keyof typeof RAW_HEADS, chunk: string): Handler {
  return req => {
    closed = floodWith(req, RAW_HEADS[head](req), chunk, bytes => {
      sentBytes += bytes;
    });
  };
}

function start(handlers: readonly Handler[]): Promise<GatewayFixture> {
  return GatewayFixture.start(handlers, {}, {heldBytes: HELD_BYTES});
}

/** Two targets, of which the one that is called first responds with `first`. */
function inTurn(first: Handler, then: Handler): readonly [Handler, Handler] {
  let calls = 0;
  const shared: Handler = (req, res) =>
    (calls++ === 0 ? first : then)(req, res);
  return [shared, shared];
}

const TEXT = 'x'.repeat(16 << 10);
const CHUNK = `${TEXT.length.toString(16)}\r\n${TEXT}\r\n`;

// Held whole until the time limit, one such response took a node's memory.
describe('a failure without end', () => {
  it.each([
    ['in chunks', 'failureInChunks', CHUNK],
    ['without a length', 'failureToClose', TEXT],
  ] as const)('should be cut off and answered: %s', async (_n, head, chunk) => {
    fixture = await start([endless(head, chunk)]);
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(502);
    await closed;
    expect(sentBytes).toBeLessThan(32 * MIB);
    expect(fixture.log.events('request.attempt')).toMatchObject([
      {end: 'lost', reason: 'body over the bound'},
    ]);
  });

  it('should be retried where the request may run twice', async () => {
    const floods = endless('failureInChunks', CHUNK);
    fixture = await start(inTurn(floods, GOOD));
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 200, body: 'good'});
  });
});

describe('a success without end', () => {
  // The bound of what is held; the rest stays with the target until the caller reads.
  it('should be held up by a caller that reads slowly', async () => {
    fixture = await start([endless('successInChunks', CHUNK)]);
    const reader = await fixture.openSlowly('/idempotent/x');
    await fixture.untilStill(() => sentBytes);
    expect(sentBytes).toBeLessThan(32 * MIB);
    expect(fixture.heldBytes).toBe(0);
    reader.destroy();
    await closed;
  });

  it('should be cut at the time limit, and not look whole', async () => {
    fixture = await GatewayFixture.start(
      [endless('successInChunks', CHUNK)],
      {timeoutMs: 300},
      {heldBytes: HELD_BYTES}
    );
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 200, isWhole: false});
    await closed;
  });
});

describe('a large response', () => {
  const BODY = 'y'.repeat(3 * MIB);
  const SOUND: readonly [string, (res: http.ServerResponse) => void][] = [
    ['with a length', res => res.setHeader('content-length', BODY.length)],
    ['in chunks', () => undefined],
    [
      'that ends with its connection',
      res => {
        res.useChunkedEncodingByDefault = false;
        res.shouldKeepAlive = false;
      },
    ],
  ];

  it.each(SOUND)('should reach its caller whole: %s', async (_name, frame) => {
    const large: Handler = (_req, res) => {
      frame(res);
      res.writeHead(200);
      res.end(BODY);
    };
    fixture = await start([large]);
    const answer = await fixture.call('/once/x');
    expect(answer).toMatchObject({status: 200, isWhole: true});
    expect(answer.body).toHaveLength(BODY.length);
    expect(answer.headers['x-response-seal']).toBe('seal-0');
    expect(fixture.heldBytes).toBe(0);
  });

  // The response was handed to its connection, and the process ended while its caller
  // still read.
  it('should keep a stopping process until a slow reader has it', async () => {
    const heldBytes = {perResponse: 16 * MIB, total: 16 * MIB};
    const large: Handler = (_req, res) => res.end(BODY + BODY + BODY);
    fixture = await GatewayFixture.start([large], {}, {heldBytes});
    const reader = await fixture.openSlowly('/once/x');
    await fixture.untilStill(() => fixture.heldBytes);
    let isIdle = false;
    const idle = fixture.waitUntilIdle(10_000)?.then(() => (isIdle = true));
    await new Promise(resolve => setImmediate(resolve));
    expect(isIdle).toBe(false);
    let received = 0;
    reader.on('data', data => (received += data.length)).resume();
    await idle;
    expect(received).toBeGreaterThan(BODY.length * 2);
    reader.destroy();
  });

  it('should not be repeated or look whole when it breaks off', async () => {
    const breaksOff: Handler = (req, res) => {
      res.writeHead(200);
      res.write(BODY, () => req.socket.destroy());
    };
    fixture = await start([breaksOff, breaksOff]);
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 200, isWhole: false});
    expect(fixture.receivedRequests).toHaveLength(1);
  });

  // Its reading was held, and nothing resumed it unless the caller had to drain: the
  // response stopped at its first bytes until its time was over.
  it('should go on when only a little may be held', async () => {
    let finish: () => void = () => undefined;
    const respond: Handler = (_req, res) => {
      res.write('begun');
      finish = () => res.end(' and ended');
    };
    const heldBytes = {perResponse: 1, total: 1};
    fixture = await GatewayFixture.start([respond], {}, {heldBytes});
    const answer = await fixture.call('/once/x', {}, '', () => finish());
    expect(answer).toMatchObject({body: 'begun and ended', isWhole: true});
  });

  it('should be relayed when others take all that may be held', async () => {
    const part: Handler = (_req, res) => res.write('z'.repeat(60 << 10));
    fixture = await start([part]);
    const calls = Array.from({length: 6}, () =>
      fixture.call('/once/x').catch((): CallerResponse | undefined => undefined)
    );
    await fixture.untilStill(() => fixture.heldBytes);
    expect(fixture.heldBytes).toBeLessThanOrEqual(HELD_BYTES.total);
    expect(fixture.heldBytes).toBeGreaterThan(0);
    fixture.closeTargets();
    await Promise.all(calls);
    expect(fixture.heldBytes).toBe(0);
  });
});

describe('an event stream without sense', () => {
  it.each([
    ['an event without end', 'data: '],
    ['data lines of one event', 'data: x\n'],
    ['comments without end', ': x\n\n'],
  ])('should be cut off: %s', async (_name, line) => {
    const chunk = line.padEnd(16, ' ').repeat(1 << 10);
    fixture = await start([endless('stream', chunk)]);
    const answer = await fixture.call('/stream/x');
    expect(answer.isWhole).toBe(answer.status !== 200);
    await closed;
    expect(sentBytes).toBeLessThan(32 * MIB);
    expect(fixture.log.events('request.attempt')).toMatchObject([
      {
        end: 'lost',
        reason: expect.stringContaining('over the bound') as string,
      },
    ]);
  });
});

describe('interim responses without end', () => {
  it('should be cut off', async () => {
    const interim = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100);
    fixture = await start([endless('none', interim)]);
    expect((await fixture.call('/once/x')).status).toBe(502);
    await closed;
    expect(fixture.log.events('request.attempt')).toMatchObject([
      {end: 'lost', reason: 'too many interim responses'},
    ]);
  });
});
