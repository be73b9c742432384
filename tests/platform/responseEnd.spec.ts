import type {RawResponse} from '../fixtures/rawResponses';
import {writeRaw} from '../fixtures/rawResponses';
import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const EVENT = 'id: 1\ndata: x\n\n';
const NEXT_EVENT = 'id: 2\ndata: y\n\n';
const EMPTY_STREAM = {framing: 'close', end: 'fin', isStream: true} as const;

let fixture: GatewayFixture;
afterEach(() => fixture.close());

function raw(response: RawResponse): Handler {
  return req => writeRaw(req, response);
}

/** Two targets, of which the one that is called first responds with `first`. */
function firstThen(first: Handler, then: Handler): readonly [Handler, Handler] {
  let calls = 0;
  const shared: Handler = (req, res) =>
    (calls++ === 0 ? first : then)(req, res);
  return [shared, shared];
}

const WHOLE = {framing: 'chunked', end: 'fin'} as const;

describe('log and metrics of the end of a response', () => {
  async function attemptOf(response: RawResponse, path: string) {
    fixture = await GatewayFixture.start([raw(response)], {maxAttempts: 1});
    await fixture.call(path);
    return fixture.log.events('request.attempt')[0];
  }

  it('should name the framing, the events and the reason', async () => {
    const isStream = true;
    const attempt = await attemptOf(
      {framing: 'chunked', end: 'early', body: EVENT, isStream},
      '/stream/x'
    );
    expect(attempt).toMatchObject({
      end: 'lost',
      framing: 'chunked',
      events: 1,
      reason: expect.stringContaining('aborted') as string,
    });
    expect(await fixture.metricsText()).toContain(
      'marlpulley_responses_total{service="s",framing="chunked",end="lost"} 1'
    );
  });

  it.each(['reset', 'resetAtOnce'] as const)(
    'should tell a connection that was reset from one that was closed: %s',
    async end => {
      const attempt = await attemptOf(
        {framing: 'close', end, body: 'text'},
        '/once/x'
      );
      expect(attempt).toMatchObject({framing: 'close'});
      expect(attempt?.['connectionError']).toMatch(/ECONNRESET|reset/);
    }
  );

  it('should name no connection error after a close in order', async () => {
    const attempt = await attemptOf(
      {framing: 'close', end: 'fin', body: 'text'},
      '/once/x'
    );
    expect(attempt).toMatchObject({framing: 'close', end: 'answered'});
    expect(attempt?.['connectionError']).toBeUndefined();
  });
});

// Such a stream has neither a length nor chunks and ends with its connection. The
// gateway must not mark an end that its target left open.
describe('a stream whose end nothing marks', () => {
  // The target broke off before the first event. The caller got an empty stream that
  // was framed as complete.
  it('should be retried if it ends before its first event', async () => {
    let calls = 0;
    const shared: Handler = (req, res) => {
      if (calls++ === 0) writeRaw(req, EMPTY_STREAM);
      else res.writeHead(200, {'content-type': 'text/event-stream'}).end(EVENT);
    };
    fixture = await GatewayFixture.start([shared, shared]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: EVENT, isWhole: true});
  });

  // As above, on a route that allows no second run.
  it('should not be relayed without an event where no retry is allowed', async () => {
    fixture = await GatewayFixture.start([raw(EMPTY_STREAM)], {
      resumable: false,
    });
    expect((await fixture.call('/stream/x')).status).toBe(502);
  });

  // Most such streams are whole. Broken off by the gateway, each of them would be
  // resumed for nothing.
  it('should reach the caller with its end unmarked', async () => {
    fixture = await GatewayFixture.start([raw({...EMPTY_STREAM, body: EVENT})]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: EVENT});
    expect(answer.headers).toMatchObject({connection: 'close'});
    expect(answer.headers).not.toHaveProperty('transfer-encoding');
    expect(answer.headers).not.toHaveProperty('content-length');
  });

  // The response to the caller has begun in chunks, so that its last chunk would mark
  // the end that the second target left open.
  it('should not complete a response that has begun in chunks', async () => {
    const first = raw({...WHOLE, end: 'early', body: EVENT, isStream: true});
    const then = raw({...EMPTY_STREAM, body: NEXT_EVENT});
    fixture = await GatewayFixture.start(firstThen(first, then));
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({body: EVENT + NEXT_EVENT, isWhole: false});
  });

  // A caller that resumes after the last event gets an empty stream. Refused instead,
  // it could never learn that it has all events.
  it('should reach a caller that resumes, even without an event', async () => {
    fixture = await GatewayFixture.start([
      raw(EMPTY_STREAM),
      raw(EMPTY_STREAM),
    ]);
    const answer = await fixture.call('/stream/x', {'last-event-id': '1'});
    expect(answer).toMatchObject({status: 200, body: ''});
    expect(answer.headers).not.toHaveProperty('transfer-encoding');
    expect(fixture.receivedRequests).toHaveLength(2);
  });
});

// Such a response ends with its connection, and a caller takes it for whole unless the
// connection is reset.
describe('requests of a caller that sent several at once and left', () => {
  // The response that is queued behind another got no event when the connection closed,
  // and counted as in progress for good.
  it('should not keep a stopping process', async () => {
    let begin: () => void = () => undefined;
    const isRunning = new Promise<void>(resolve => (begin = resolve));
    fixture = await GatewayFixture.start([() => begin()]);
    const caller = await fixture.openSlowly('/once/x', 2);
    await isRunning;
    caller.destroy();
    await fixture.waitUntilIdle(60_000);
  });
});

describe('a response to the caller whose end nothing marks', () => {
  const INSIDE_EVENT = `${EVENT}id: 2\nda`;

  // The target's stream ends with its connection, inside an event.
  it('should be reset when a stream breaks off', async () => {
    fixture = await GatewayFixture.start(
      [raw({...EMPTY_STREAM, body: INSIDE_EVENT})],
      {maxAttempts: 1}
    );
    expect(await fixture.call('/stream/x')).toMatchObject({isWhole: false});
  });

  // The kernel closes the connections of a process that ends in order.
  it('should be reset when the process stops before its end', async () => {
    fixture = await GatewayFixture.start([
      raw({...EMPTY_STREAM, body: EVENT, end: 'never'}),
    ]);
    const stop = () => fixture.abortResponses();
    const answer = await fixture.call('/stream/x', {}, '', stop);
    expect(answer).toMatchObject({isWhole: false});
  });

  // HTTP/1.0 has no chunks.
  it('should be reset when a stream to an HTTP/1.0 caller breaks off', async () => {
    const isStream = true;
    fixture = await GatewayFixture.start(
      [raw({framing: 'chunked', end: 'early', body: EVENT, isStream})],
      {maxAttempts: 1}
    );
    const {wasReset} = await fixture.callByHttp10('/stream/x');
    expect(wasReset).toBe(true);
  });

  it('should get a length for an HTTP/1.0 caller if it is whole', async () => {
    fixture = await GatewayFixture.start([
      raw({framing: 'chunked', end: 'fin', body: 'text'}),
    ]);
    const {text} = await fixture.callByHttp10('/once/x');
    expect(text).toMatch(/content-length: 4\r\n/i);
  });

  it('should end in order for an HTTP/1.0 caller of a whole stream', async () => {
    const isStream = true;
    fixture = await GatewayFixture.start([
      raw({framing: 'chunked', end: 'fin', body: EVENT, isStream}),
    ]);
    const {text, wasReset} = await fixture.callByHttp10('/stream/x');
    expect(text.endsWith(EVENT)).toBe(true);
    expect(wasReset).toBe(false);
  });
});

// Node's parser calls a body without a length complete when its connection is reset.
// Such a body was relayed as whole.
describe.each(['reset', 'resetAtOnce'] as const)(
  'a response that ends by a %s',
  end => {
    it('should not be relayed as whole', async () => {
      fixture = await GatewayFixture.start([
        raw({framing: 'close', end, body: 'half'}),
      ]);
      const answer = await fixture.call('/once/x');
      expect(answer.status).toBe(502);
      expect(answer.body).not.toContain('half');
    });

    it('should be retried where the route allows it', async () => {
      const first = raw({framing: 'close', end, body: 'half'});
      const then = raw({...WHOLE, body: 'whole'});
      fixture = await GatewayFixture.start(firstThen(first, then));
      const answer = await fixture.call('/idempotent/x');
      expect(answer).toMatchObject({status: 200, body: 'whole'});
    });

    it('should break off the stream to the caller', async () => {
      fixture = await GatewayFixture.start(
        [raw({framing: 'close', end, body: EVENT, isStream: true})],
        {maxAttempts: 1}
      );
      // A reset that overtakes the event leaves nothing of the stream to relay.
      const answer = await fixture.call('/stream/x');
      expect(answer.status === 502 || !answer.isWhole).toBe(true);
    });
  }
);

// Only `chunked` marks the end of a body. With any other coding the gateway took the
// end of the connection for one, and relayed the coded bytes as the body.
describe('a response with a transfer coding that was not asked for', () => {
  it.each(['gzip', 'gzip, chunked', 'chunked, gzip'])(
    'should not be relayed: %s',
    async coding => {
      const headers = [`Transfer-Encoding: ${coding}`];
      const body = '1\r\nx\r\n0\r\n\r\n';
      fixture = await GatewayFixture.start([
        raw({framing: 'close', end: 'fin', headers, body}),
      ]);
      expect((await fixture.call('/once/x')).status).toBe(502);
    }
  );

  it('should be relayed with its end unmarked where it changes nothing', async () => {
    const headers = ['Transfer-Encoding: identity'];
    fixture = await GatewayFixture.start([
      raw({framing: 'close', end: 'fin', headers, body: 'text'}),
    ]);
    const answer = await fixture.call('/once/x');
    expect(answer).toMatchObject({status: 200, body: 'text'});
    expect(answer.headers).not.toHaveProperty('transfer-encoding');
    expect(answer.headers).not.toHaveProperty('content-length');
  });
});

// The first target stated a length and broke off; the second one continues with more
// bytes. Cut at the length of the first, the stream looked whole to the caller.
describe('a stream with a length', () => {
  it('should be whole after another target continued it', async () => {
    const last = `id: 2\ndata: ${'y'.repeat(50)}\n\n`;
    const stream = {framing: 'length', isStream: true} as const;
    const first = raw({...stream, end: 'early', body: EVENT});
    const then = raw({...stream, end: 'fin', body: last});
    fixture = await GatewayFixture.start(firstThen(first, then));
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({body: EVENT + last, isWhole: true});
  });
});

// An empty line after the last event counted as the beginning of another one, and the
// whole stream as broken off.
describe('a stream with an empty line after its last event', () => {
  it('should be whole', async () => {
    fixture = await GatewayFixture.start([
      raw({...WHOLE, body: `${EVENT}\n`, isStream: true}),
    ]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({body: EVENT, isWhole: true});
  });
});
