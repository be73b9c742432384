import {writeRaw} from '../fixtures/rawResponses';
import type {RawResponse} from '../fixtures/rawResponses';
import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

/** Lines in the place of those that state the framing of a body, by its length. */
const MALFORMED_FIELDS: readonly [string, (length: number) => string[]][] = [
  ['CR before a name', n => ['\rX-Other: 1', `Content-Length: ${n}`]],
  ['LF before a name', n => ['\nX-Other: 1', `Content-Length: ${n}`]],
  [
    'CR in place of the first letter of the length',
    n => [`\rontent-Length: ${n}`],
  ],
  [
    'LF in place of the first letter of the length',
    n => [`\nontent-Length: ${n}`],
  ],
  ['a blank in a name', n => ['X Other: 1', `Content-Length: ${n}`]],
  ['a blank before a name', n => [' X-Other: 1', `Content-Length: ${n}`]],
  ['an empty name', n => [': 1', `Content-Length: ${n}`]],
  [
    'a control byte in a name',
    n => ['X\u0001Other: 1', `Content-Length: ${n}`],
  ],
  ['LF after a value', n => [`X-Other: 1\nContent-Length: ${n}`]],
  [
    'a control byte in a value',
    n => ['X-Other: \u0001', `Content-Length: ${n}`],
  ],
  ['a blank in the transfer coding', () => ['Transfer Encoding: chunked']],
  [
    'a blank in the content coding',
    n => ['Content Encoding: gzip', `Content-Length: ${n}`],
  ],
];
const EVENTS = ['id: 1\ndata: x\n\n', 'id: 2\ndata: y\n\n'] as const;

let fixture: GatewayFixture;
afterEach(() => fixture.close());

function whole(body: string): RawResponse {
  return {framing: 'close', end: 'fin', body};
}

/** Handles the first request by `first`, all others by `others`. */
function firstBy(first: Handler, others: Handler): Handler {
  let calls = 0;
  return (req, res) => (calls++ === 0 ? first : others)(req, res);
}

function attemptEnds(): readonly unknown[] {
  return fixture.log.events('request.attempt').map(({end}) => end);
}

// Node's parser accepted the head or ended it early, depending on the version of the
// runtime: callers got a 200 with a body that was none, or the target's reason phrase with
// a body of the gateway, and the target counted as healthy.
describe.each(MALFORMED_FIELDS)('a response with %s', (_name, linesFor) => {
  const BODY = 'text';
  const headers = linesFor(BODY.length);
  const respond: Handler = req => writeRaw(req, {...whole(BODY), headers});

  it('should leave open whether a request that may run once has run', async () => {
    fixture = await GatewayFixture.start([respond]);
    const {text} = await fixture.callRaw('POST /once/x HTTP/1.1', [
      'Content-Length: 0',
      'Connection: close',
    ]);
    expect(text).toMatch(/^HTTP\/1\.1 502 Bad Gateway\r\n/);
    expect(attemptEnds()).toEqual(['lost']);
    expect(fixture.log.events('request.failed')).toEqual([]);
  });

  it('should be retried where the request may run twice', async () => {
    const handler = firstBy(respond, (_req, res) => res.end('good'));
    fixture = await GatewayFixture.start([handler, handler]);
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 200, body: 'good', isWhole: true});
    expect(attemptEnds()).toEqual(['lost', 'answered']);
  });

  it('should be retried before a stream has begun', async () => {
    const handler = firstBy(respond, (_req, res) => {
      res.writeHead(200, {'content-type': 'text/event-stream'}).end(EVENTS[0]);
    });
    fixture = await GatewayFixture.start([handler, handler]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: EVENTS[0], isWhole: true});
  });

  it('should not continue a stream', async () => {
    const next: RawResponse = {
      ...whole(EVENTS[1]),
      isStream: true,
      headers: linesFor(EVENTS[1].length),
    };
    const handler = firstBy(
      (req, res) => {
        res.writeHead(200, {'content-type': 'text/event-stream'});
        res.write(EVENTS[0], () => req.socket.destroy());
      },
      req => writeRaw(req, next)
    );
    fixture = await GatewayFixture.start([handler, handler]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({body: EVENTS[0], isWhole: false});
  });

  it('should be refused when it arrives byte by byte', async () => {
    const respondSlowly: Handler = req =>
      writeRaw(req, {...whole(BODY), headers, isByteByByte: true});
    fixture = await GatewayFixture.start([respondSlowly]);
    expect((await fixture.call('/once/x')).status).toBe(502);
    expect(attemptEnds()).toEqual(['lost']);
  });
});

describe('a malformed interim response', () => {
  it('should fail the attempt', async () => {
    fixture = await GatewayFixture.start([
      req => {
        req.socket.write('HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\n');
        writeRaw(req, {framing: 'length', end: 'fin', body: 'text'});
      },
    ]);
    expect((await fixture.call('/once/x')).status).toBe(502);
  });
});

// Clients got a 200 with an empty or a short body that was framed as whole.
describe('a head that stops', () => {
  const EMPTY_STREAM: RawResponse = {
    framing: 'length',
    end: 'fin',
    isStream: true,
  };
  const HEAD_BYTES = 110;

  it.each(['/once/x', '/stream/x'])(
    'should reach no caller, wherever it stops: %s',
    async path => {
      for (let cutAt = 0; cutAt < HEAD_BYTES; cutAt++) {
        fixture = await GatewayFixture.start([
          req => writeRaw(req, {...EMPTY_STREAM, cutAt}),
        ]);
        expect((await fixture.call(path)).status).toBe(502);
        await fixture.close();
      }
    }
  );
});
