import type {RawResponse} from '../fixtures/rawResponses';
import {writeRaw} from '../fixtures/rawResponses';
import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const WHOLE = {framing: 'length', end: 'fin', body: 'text'} as const;
const CHUNKED = {...WHOLE, framing: 'chunked'} as const;

/** Heads that Node's parser accepts. */
const SPOILED_HEADS: readonly [string, RawResponse][] = [
  ['status 000', {...WHOLE, status: '000'}],
  ['status 099', {...WHOLE, status: '099'}],
  ['status 700', {...WHOLE, status: '700'}],
  // These were passed on as HTTP/1.1 200 with their seal and body.
  ['RTSP/1.1', {...WHOLE, version: 'RTSP/1.1'}],
  ['HTTP/0.9', {...WHOLE, version: 'HTTP/0.9'}],
  ['HTTP/2.0', {...WHOLE, version: 'HTTP/2.0'}],
  ['a control character in the reason', {...WHOLE, reason: 'O\u0001K'}],
];

let fixture: GatewayFixture;
afterEach(() => fixture.close());

function raw(response: RawResponse): Handler {
  return req => writeRaw(req, response);
}

describe('a response whose head is none by HTTP', () => {
  // Relaying it threw an exception, and the caller of a request that had run was told
  // by 503 that it had not.
  it.each(SPOILED_HEADS)(
    'should leave open whether the request ran: %s',
    async (_name, response) => {
      fixture = await GatewayFixture.start([raw(response)]);
      expect(await fixture.call('/once/x')).toMatchObject({
        status: 502,
        headers: {'content-type': 'application/json'},
      });
      expect(fixture.receivedRequests).toHaveLength(1);
      expect(fixture.log.events('request.failed')).toEqual([]);
    }
  );

  it('should be retried where the request may run twice', async () => {
    let calls = 0;
    const shared: Handler = (req, res) => {
      if (calls++ === 0) writeRaw(req, {...WHOLE, status: '000'});
      else res.end('good');
    };
    fixture = await GatewayFixture.start([shared, shared]);
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 200, body: 'good'});
  });

  // The last error response is relayed when no attempt is left.
  it('should not replace the error response of an earlier attempt', async () => {
    let calls = 0;
    const shared: Handler = (req, res) => {
      if (calls++ === 0) res.writeHead(500).end('fault');
      else writeRaw(req, {...WHOLE, status: '000'});
    };
    fixture = await GatewayFixture.start([shared, shared]);
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 500, body: 'fault'});
  });

  it('should end a stream that it was to resume as incomplete', async () => {
    const EVENT = 'id: 1\ndata: x\n\n';
    let calls = 0;
    const shared: Handler = (req, res) => {
      if (calls++ > 0) return writeRaw(req, {...WHOLE, status: '000'});
      res.writeHead(200, {'content-type': 'text/event-stream'});
      res.write(EVENT, () => req.socket.destroy());
    };
    fixture = await GatewayFixture.start([shared, shared]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: EVENT, isWhole: false});
  });
});

describe('a response that announces trailers', () => {
  // Beside the length that the gateway adds, Node's writer refuses the announcement;
  // the caller of a request that had run got 503.
  it.each(['/once/x', '/stream/x'])(
    'should reach the caller without them: %s',
    async path => {
      const headers = ['Trailer: X-Count'];
      fixture = await GatewayFixture.start([raw({...CHUNKED, headers})]);
      expect(await fixture.call(path)).toMatchObject({
        status: 200,
        body: 'text',
        isWhole: true,
      });
    }
  );
});

describe('a response with a malformed trailer', () => {
  const trailers = ['X Count: 1'];

  // Passing it on threw an exception in a listener, which ended the node.
  it.each([
    [
      'a body that is too large to be held',
      '/once/x',
      'x'.repeat(200),
      'incomplete body',
    ],
    ['a stream', '/stream/x', 'id: 1\ndata: x\n\n', 'invalid field name'],
  ])(
    'should leave its body without an end: %s',
    async (_name, path, body, reason) => {
      let finish: () => void = () => undefined;
      const isStream = path === '/stream/x';
      const respond: Handler = req => {
        writeRaw(req, {...CHUNKED, end: 'never', isStream, body});
        finish = () => req.socket.end('0\r\nX Count: 1\r\n\r\n');
      };
      const heldBytes = {perResponse: 100, total: 1_000};
      fixture = await GatewayFixture.start([respond], {}, {heldBytes});
      const answer = await fixture.call(path, {}, '', () => finish());
      expect(answer).toMatchObject({status: 200, body, isWhole: false});
      expect(fixture.log.events('request.attempt')[0]?.reason).toBe(reason);
    }
  );

  it('should be retried where the request may run twice', async () => {
    let calls = 0;
    const shared: Handler = (req, res) => {
      if (calls++ === 0) writeRaw(req, {...CHUNKED, trailers});
      else res.end('good');
    };
    fixture = await GatewayFixture.start([shared, shared]);
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 200, body: 'good'});
  });
});

describe('a status that promises that the request has not run', () => {
  // Only the target's own statement proves it. Relayed without that, the status made a
  // caller send a request again that had run.
  it.each([408, 429, 503])(
    'should not be relayed without the proof: %i',
    async status => {
      const isSent: Handler = (_req, res) => res.writeHead(status).end('x');
      fixture = await GatewayFixture.start([isSent]);
      expect((await fixture.call('/once/x')).status).toBe(502);
      expect(fixture.receivedRequests).toHaveLength(1);
    }
  );

  it('should prove nothing in a response to another request', async () => {
    const isStray: Handler = (_req, res) => {
      res.setHeader('x-attempt-id', 'another');
      res.setHeader('x-not-executed', '1');
      res.writeHead(503).end();
    };
    fixture = await GatewayFixture.start([isStray, isStray]);
    expect((await fixture.call('/once/x')).status).toBe(502);
    expect(fixture.receivedRequests).toHaveLength(1);
  });
});

describe('bytes that are no request, after one in progress', () => {
  // Node answers them with 400, or 408 once a head is late, and the caller took that for
  // the answer to the request that ran.
  it.each([
    ['garbage', 'no request\r\n\r\n'],
    ['a head that is never whole', 'POST /once/x HTTP/1.1\r\nHost: a'],
  ])('should get no answer: %s', async (_name, bytes) => {
    let begin: (bytes: string) => void = () => undefined;
    const isRunning = new Promise<string>(resolve => (begin = resolve));
    fixture = await GatewayFixture.start([() => begin(bytes)], {
      timeoutMs: 10_000,
    });
    const line = 'POST /once/x HTTP/1.1';
    const headers = ['Content-Length: 0'];
    const {text} = await fixture.callRaw(line, headers, '', isRunning);
    expect(text).toBe('');
  });
});

describe('an exception while a request is served', () => {
  // "Not run" was the default until an attempt had ended; an exception before that made
  // it a false promise.
  it('should leave open whether a request that was sent has run', async () => {
    fixture = await GatewayFixture.start([(_req, res) => void res.end('x')]);
    fixture.pushback.noteResponse = () => {
      throw new Error('unexpected');
    };
    expect((await fixture.call('/once/x')).status).toBe(502);
    expect(fixture.log.events('request.failed')).toHaveLength(1);
  });

  it('should promise "not run" for one that was not sent', async () => {
    fixture = await GatewayFixture.start([(_req, res) => void res.end('x')]);
    fixture.pushback.noteRequest = () => {
      throw new Error('unexpected');
    };
    expect((await fixture.call('/once/x')).status).toBe(503);
    expect(fixture.receivedRequests).toEqual([]);
  });
});
