import type {SyncState} from '../../src/cluster/messages';
import {eventually} from '../fixtures/testSystem';
import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const OK: Handler = (_req, res) => res.end('answer');
const FULL: Handler = (_req, res) => {
  res.writeHead(503, {'x-not-executed': '1'});
  res.end();
};
const RESET: Handler = req => req.socket.destroy();
const FAILS: Handler = (_req, res) => {
  res.writeHead(500);
  res.end('fault');
};

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Sends events after the one that the caller names, up to `last`. */
function events(last: number, breakAfter = Infinity): Handler {
  return (req, res) => {
    res.writeHead(200, {'content-type': 'text/event-stream'});
    const from = Number(req.headers['last-event-id'] ?? 0) + 1;
    for (let id = from; id <= last; id++) {
      if (id > breakAfter) {
        res.write(`id: ${id}\nda`, () => req.socket.destroy());
        return;
      }
      res.write(event(id));
    }
    res.end();
  };
}

describe('gateway and targets without an agent', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  it('should relay the response with its status and its seal', async () => {
    fixture = await GatewayFixture.start([OK]);
    const answer = await fixture.call('/once/x');
    expect(answer).toMatchObject({status: 200, body: 'answer', isWhole: true});
    expect(answer.headers['x-response-seal']).toBe('seal-0');
    expect(fixture.receivedRequests[0]?.headers['x-tenant-name']).toBe('one');
    expect(fixture.receivedRequests[0]?.headers.authorization).toBeUndefined();
  });

  it('should refuse an unknown key and an unknown path', async () => {
    fixture = await GatewayFixture.start([OK]);
    const wrong = await fixture.call('/once/x', {authorization: 'Bearer no'});
    expect(wrong.status).toBe(401);
    expect((await fixture.call('/nowhere')).status).toBe(404);
    expect(fixture.receivedRequests).toHaveLength(0);
  });

  // No leader has replied for longer than the bound: a newer document may be in force
  // that has the route, the key and the limit, and callers would not try again.
  it('should not refuse by a document that may be outdated', async () => {
    fixture = await GatewayFixture.start([OK], {}, {isConfirmed: false});
    const answers = [
      await fixture.call('/nowhere'),
      await fixture.call('/once/x', {authorization: 'Bearer new'}),
      await fixture.call('/once/x', {}, 'x'.repeat(2_000)),
    ];
    expect(answers.map(({status}) => status)).toEqual([503, 503, 503]);
    for (const {headers} of answers) {
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
      expect(headers.connection).toBe('close');
    }
    expect(fixture.log.events('request.refused')).toMatchObject(
      ['unknownRoute', 'unknownKey', 'bodyTooLarge'].map(withheld => ({
        refusal: {kind: 'staleSite'},
        withheld,
      }))
    );
    expect((await fixture.call('/once/x')).status).toBe(200);
  });

  // The target reads the request and closes the connection: the request may have
  // run. A retry could record an award twice, so there is none, and the caller is
  // told that the outcome is unknown.
  it('should not retry a non-idempotent request whose response was lost', async () => {
    fixture = await GatewayFixture.start([RESET, RESET]);
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(502);
    expect(fixture.receivedRequests).toHaveLength(1);
  });

  // The target states that it did not run the request, so another target may run
  // it, even if it must not run twice.
  it('should retry a request that a target did not run', async () => {
    fixture = await GatewayFixture.start([FULL, OK]);
    for (let i = 0; i < 6; i++)
      expect((await fixture.call('/once/x')).status).toBe(200);
  });

  it('should respond with 503 when no target ran the request', async () => {
    fixture = await GatewayFixture.start([FULL, FULL]);
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  });

  // Nobody listens at the first target. No byte was sent, so the request cannot
  // have run, and the attempt does not count towards `maxAttempts`.
  it('should skip a target that it cannot connect to', async () => {
    fixture = await GatewayFixture.start([OK], {maxAttempts: 1});
    fixture.addUnreachableTarget();
    for (let i = 0; i < 6; i++)
      expect((await fixture.call('/once/x')).status).toBe(200);
  });

  it('should retry an idempotent request after a server error', async () => {
    fixture = await GatewayFixture.start([FAILS, OK]);
    for (let i = 0; i < 4; i++)
      expect((await fixture.call('/idempotent/x')).status).toBe(200);
  });

  it('should relay the last error response when all targets fail', async () => {
    fixture = await GatewayFixture.start([FAILS, FAILS]);
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 500, body: 'fault'});
    expect(fixture.receivedRequests).toHaveLength(2);
  });

  // A response to another request arrives on this connection. It must not reach
  // this caller.
  it('should not relay the response to another request', async () => {
    const stray: Handler = (_req, res) => {
      res.setHeader('x-attempt-id', 'another');
      res.end('not yours');
    };
    fixture = await GatewayFixture.start([stray]);
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(502);
    expect(answer.body).not.toContain('not yours');
  });

  // The target closes the connection in the middle of the body. The truncated
  // body must not reach the caller as a complete response.
  it('should not relay a truncated response', async () => {
    const cut: Handler = (req, res) => {
      res.writeHead(200, {'content-length': '100'});
      res.write('half', () => req.socket.destroy());
    };
    fixture = await GatewayFixture.start([cut]);
    expect((await fixture.call('/once/x')).status).toBe(502);
  });

  // A response without a length ends when its connection closes, so it may be
  // truncated. A length added by the gateway would declare it complete.
  it('should add no length to a response without one', async () => {
    const bare: Handler = req => {
      const id = String(req.headers['x-attempt-id']);
      const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: s\r\nConnection: close\r\n\r\n`;
      req.socket.end(`${head}short`);
    };
    fixture = await GatewayFixture.start([bare]);
    const answer = await fixture.call('/once/x');
    expect(answer.body).toBe('short');
    expect(answer.headers['content-length']).toBeUndefined();
    expect(answer.headers['transfer-encoding']).toBeUndefined();
  });

  // The target hangs. At the route's timeout the caller gets a 504, which leaves
  // open whether the request ran.
  it('should end a request at its timeout', async () => {
    const hangs: Handler = () => undefined;
    fixture = await GatewayFixture.start([hangs], {timeoutMs: 150});
    expect((await fixture.call('/once/x')).status).toBe(504);
  });
});

describe('streams through the gateway', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const WHOLE = [1, 2, 3, 4, 5].map(event).join('');

  it('should relay all events unchanged', async () => {
    fixture = await GatewayFixture.start([events(5)]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: WHOLE, isWhole: true});
  });

  // Both targets break off in the middle of their third event. The second one is
  // asked to resume after event 2, and the caller gets no event twice.
  it('should resume at another target after the last whole event', async () => {
    fixture = await GatewayFixture.start([events(5, 2), events(5, 2)]);
    const answer = await fixture.call('/stream/x');
    const heads = fixture.receivedRequests.map(
      ({headers}) => headers['last-event-id']
    );
    expect(heads).toEqual([undefined, '2']);
    expect(answer.body).toBe(event(1) + event(2));
    expect(answer.isWhole).toBe(false);
  });

  // The seal shows that the caller gets the headers of the first target.
  it('should complete a stream that the first target broke off', async () => {
    let calls = 0;
    const first = events(5, 2);
    const then = events(5);
    const shared: Handler = (req, res) =>
      (calls++ === 0 ? first : then)(req, res);
    fixture = await GatewayFixture.start([shared, shared]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: WHOLE, isWhole: true});
    expect(answer.headers['x-response-seal']).toBe(
      `seal-${fixture.receivedRequests[0]?.target}`
    );
  });

  // The second target resumes from the wrong event, so the caller would miss
  // events or get them twice. The stream is aborted instead.
  it('should not join streams whose event ids are not consecutive', async () => {
    let calls = 0;
    const first = events(5, 2);
    const wrong: Handler = (_req, res) => {
      res.writeHead(200, {'content-type': 'text/event-stream'});
      res.end(event(4) + event(5));
    };
    const shared: Handler = (req, res) =>
      (calls++ === 0 ? first : wrong)(req, res);
    fixture = await GatewayFixture.start([shared, shared]);
    const answer = await fixture.call('/stream/x');
    expect(answer.body).toBe(event(1) + event(2));
    expect(answer.isWhole).toBe(false);
  });

  it('should not resume where the route does not allow it', async () => {
    fixture = await GatewayFixture.start([events(5, 2), events(5, 2)], {
      resumable: false,
    });
    const answer = await fixture.call('/stream/x');
    expect(answer.isWhole).toBe(false);
    expect(fixture.receivedRequests).toHaveLength(1);
  });
});

describe('targets that state a rate limit', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const limited: Handler = (_req, res) => {
    res.setHeader('server-limit', '0.5');
    res.end('answer');
  };

  /** The leader's reply, with tokens for the first target. */
  function reply(tokens: number) {
    fixture.table.setRateLimit('t0', 0.5);
    const state = {activeNodes: 1, tokens: {t0: tokens}};
    const nowMs = performance.now();
    fixture.pushback.applyReply(
      state as unknown as SyncState,
      [],
      nowMs,
      nowMs
    );
  }

  it('should be sent nothing after the first response that says so', async () => {
    fixture = await GatewayFixture.start([limited, OK]);
    reply(0);
    fixture.table.setRateLimit('t0', undefined);
    let isStated = false;
    for (let i = 0; i < 20; i++) {
      const before = fixture.receivedRequests.length;
      expect((await fixture.call('/once/x')).status).toBe(200);
      const target = fixture.receivedRequests[before]?.target;
      if (isStated) expect(target).toBe(1);
      isStated ||= target === 0;
    }
    expect(isStated).toBe(true);
  });

  // Guards against callers who are refused a moment before a token comes.
  it('should let a request wait for a token', async () => {
    fixture = await GatewayFixture.start([limited]);
    reply(0);
    const answer = fixture.call('/once/x');
    await eventually('a report that asks for a token', async () =>
      fixture.pushback
        .takeReports(performance.now())
        .some(({wanted}) => wanted > 0)
    );
    expect(fixture.receivedRequests).toHaveLength(0);
    reply(1);
    expect((await answer).status).toBe(200);
  });

  it('should tell callers when a token may come', async () => {
    fixture = await GatewayFixture.start([limited], {latencyTargetMs: 50});
    reply(0);
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(503);
    const retryAfterS = Number(answer.headers['retry-after']);
    expect(retryAfterS).toBeGreaterThanOrEqual(1);
    expect(retryAfterS).toBeLessThanOrEqual(3);
    expect(fixture.receivedRequests).toHaveLength(0);
  });
});

describe('targets that ask for a rest', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const resting =
    (seconds: number): Handler =>
    (_req, res) => {
      res.writeHead(503, {'x-not-executed': '1', 'retry-after': `${seconds}`});
      res.end();
    };

  // Guards against requests that are turned away again, each of which costs its
  // caller one of two attempts.
  it('should be sent nothing until its end', async () => {
    fixture = await GatewayFixture.start([resting(30), OK]);
    for (let i = 0; i < 20; i++)
      expect((await fixture.call('/once/x')).status).toBe(200);
    const refused = fixture.receivedRequests.filter(({target}) => target === 0);
    expect(refused).toHaveLength(1);
  });

  // Guards against requests that are queued, and take the places of others, for
  // targets which are known to take none.
  it('should be told to callers without a place in the queue', async () => {
    fixture = await GatewayFixture.start([resting(30)], {maxAttempts: 1});
    await fixture.call('/once/x');
    const arrivals = () => fixture.arrivals();
    arrivals();
    expect((await fixture.call('/once/x')).status).toBe(503);
    expect(arrivals()).toBe(0);
  });

  // Guards against callers who come back while all targets are still at rest.
  it('should be told to callers at once, the shortest of all', async () => {
    fixture = await GatewayFixture.start([resting(30), resting(12)]);
    await fixture.call('/once/x');
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(503);
    expect(fixture.receivedRequests).toHaveLength(2);
    const retryAfterS = Number(answer.headers['retry-after']);
    expect(retryAfterS).toBeGreaterThan(11);
    expect(retryAfterS).toBeLessThan(13);
  });
});

describe('targets that leave', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  // Guards against requests to a target that is about to stop. The node acts on the
  // response, also when an announcement says otherwise: that one was sent before.
  it('should be sent nothing once a response says so', async () => {
    const leaving: Handler = (_req, res) => {
      res.setHeader('server-leaving', '1');
      res.end('answer');
    };
    fixture = await GatewayFixture.start([leaving, leaving, OK]);
    for (let i = 0; i < 30; i++) {
      expect((await fixture.call('/once/x')).status).toBe(200);
      for (const id of ['t0', 't1', 't2'])
        fixture.table.merge(
          {...fixture.table.find(id)!, sequence: 2 + i, state: 'ready'},
          i
        );
    }
    const targets = fixture.receivedRequests.map(({target}) => target);
    expect(targets.filter(target => target === 0)).toHaveLength(1);
    expect(targets.filter(target => target === 1)).toHaveLength(1);
  });
});
