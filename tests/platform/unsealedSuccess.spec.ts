import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const SEAL = 'x-response-seal';
const STREAM = {'content-type': 'text/event-stream'};
const EVENT = 'id: 1\ndata: x\n\n';
const NEXT_EVENT = 'id: 2\ndata: y\n\n';

/** Successes of each kind; their heads lack the seal if it was removed before. */
const WHOLE: Handler = (_req, res) => res.end('unproven');
const NO_CONTENT: Handler = (_req, res) => res.writeHead(204).end();
const EVENTS: Handler = (_req, res) =>
  res.writeHead(200, STREAM).end(EVENT + NEXT_EVENT);

let fixture: GatewayFixture;
afterEach(() => fixture.close());

function unsealed(respond: Handler): Handler {
  return (req, res) => {
    res.removeHeader(SEAL);
    respond(req, res);
  };
}

/** Two targets, of which the one that is called first responds with `first`. */
function inTurn(first: Handler, then: Handler): readonly [Handler, Handler] {
  let calls = 0;
  const shared: Handler = (req, res) =>
    (calls++ === 0 ? first : then)(req, res);
  return [shared, shared];
}

// The seal is the proof that a success is the target's own. It was read, and no decision
// rested on it.
describe('a success without a seal', () => {
  it.each<[string, string, Handler]>([
    ['a whole response', '/once/x', unsealed(WHOLE)],
    ['a response without content', '/once/x', unsealed(NO_CONTENT)],
    ['a stream', '/stream/x', unsealed(EVENTS)],
    [
      'an empty seal',
      '/once/x',
      (req, res) => {
        res.setHeader(SEAL, '');
        WHOLE(req, res);
      },
    ],
    [
      'a success that did not run',
      '/once/x',
      (req, res) => {
        res.setHeader('x-not-executed', '1');
        WHOLE(req, res);
      },
    ],
  ])('should not reach the caller: %s', async (_name, path, handler) => {
    fixture = await GatewayFixture.start([handler], {resumable: false});
    const answer = await fixture.call(path);
    expect(answer).toMatchObject({status: 502});
    expect(answer.headers).not.toHaveProperty(SEAL);
    expect(fixture.receivedRequests).toHaveLength(1);
  });

  it('should not reach the caller of HEAD', async () => {
    fixture = await GatewayFixture.start([unsealed(WHOLE)]);
    const line = 'HEAD /once/x HTTP/1.1';
    const {text} = await fixture.callRaw(line, ['Connection: close']);
    expect(text).toMatch(/^HTTP\/1\.1 502 /);
  });

  it.each([
    ['/idempotent/x', WHOLE, 'unproven'],
    ['/stream/x', EVENTS, EVENT + NEXT_EVENT],
  ])(
    'should be retried where the request may run twice: %s',
    async (path, respond, body) => {
      fixture = await GatewayFixture.start(inTurn(unsealed(respond), respond));
      const answer = await fixture.call(path);
      expect(answer).toMatchObject({status: 200, body, isWhole: true});
      expect(answer.headers[SEAL]).toMatch(/^seal-/);
      expect(fixture.receivedRequests).toHaveLength(2);
    }
  );

  it('should be refused as "may have run" after all attempts', async () => {
    fixture = await GatewayFixture.start([unsealed(WHOLE), unsealed(WHOLE)]);
    expect((await fixture.call('/idempotent/x')).status).toBe(502);
    expect(fixture.receivedRequests).toHaveLength(2);
  });
});

describe('a stream that another target continues', () => {
  const BREAKS_OFF: Handler = (req, res) => {
    res.writeHead(200, STREAM);
    res.write(EVENT, () => req.socket.destroy());
  };
  const REST: Handler = (_req, res) =>
    res.writeHead(200, STREAM).end(NEXT_EVENT);

  it.each<[string, Handler]>([
    ['without a seal', unsealed(REST)],
    [
      'with a failure',
      (_req, res) => res.writeHead(404, STREAM).end(NEXT_EVENT),
    ],
  ])('should not go on %s', async (_name, then) => {
    fixture = await GatewayFixture.start(inTurn(BREAKS_OFF, then));
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: EVENT, isWhole: false});
    expect(fixture.receivedRequests).toHaveLength(2);
  });
});
