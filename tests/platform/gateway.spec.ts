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

describe('gateway before targets that stand on their own', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  it('should pass on the answer, its status and its proof', async () => {
    fixture = await GatewayFixture.start([OK]);
    const answer = await fixture.call('/once/x');
    expect(answer).toMatchObject({status: 200, body: 'answer', isWhole: true});
    expect(answer.headers['x-response-seal']).toBe('seal-0');
    expect(fixture.seen[0]?.headers['x-tenant-name']).toBe('one');
    expect(fixture.seen[0]?.headers.authorization).toBeUndefined();
  });

  it('should refuse an unknown key and an unknown path', async () => {
    fixture = await GatewayFixture.start([OK]);
    const wrong = await fixture.call('/once/x', {authorization: 'Bearer no'});
    expect(wrong.status).toBe(401);
    expect((await fixture.call('/nowhere')).status).toBe(404);
    expect(fixture.seen).toHaveLength(0);
  });

  // The target reads the request and the connection ends: it may have run. A
  // second send could record an award twice, so the caller learns that the
  // outcome is not known, and nobody sends it again.
  it('should never send a call twice whose answer was lost', async () => {
    fixture = await GatewayFixture.start([RESET, RESET]);
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(502);
    expect(fixture.seen).toHaveLength(1);
  });

  // The target says that it did not run it: another may, even a call that must
  // not run twice.
  it('should send a call on after a target did not run it', async () => {
    fixture = await GatewayFixture.start([FULL, OK]);
    for (let i = 0; i < 6; i++)
      expect((await fixture.call('/once/x')).status).toBe(200);
  });

  it('should promise that nothing ran when no target ran it', async () => {
    fixture = await GatewayFixture.start([FULL, FULL]);
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  });

  // Nobody listens at the first target: no byte was sent, so it cannot have
  // run, and the try does not count among those that the route allows.
  it('should pass over a target that it cannot reach', async () => {
    fixture = await GatewayFixture.start([OK], {maxAttempts: 1});
    fixture.addDeadTarget();
    for (let i = 0; i < 6; i++)
      expect((await fixture.call('/once/x')).status).toBe(200);
  });

  it('should send an idempotent call on after a failure', async () => {
    fixture = await GatewayFixture.start([FAILS, OK]);
    for (let i = 0; i < 4; i++)
      expect((await fixture.call('/idempotent/x')).status).toBe(200);
  });

  it('should pass on the failure itself when all targets fail', async () => {
    fixture = await GatewayFixture.start([FAILS, FAILS]);
    const answer = await fixture.call('/idempotent/x');
    expect(answer).toMatchObject({status: 500, body: 'fault'});
    expect(fixture.seen).toHaveLength(2);
  });

  // An answer meant for another request comes on this connection. It must not
  // reach this caller, whatever it says.
  it('should not pass on the answer to another request', async () => {
    const stray: Handler = (_req, res) => {
      res.setHeader('x-attempt-id', 'another');
      res.end('not yours');
    };
    fixture = await GatewayFixture.start([stray]);
    const answer = await fixture.call('/once/x');
    expect(answer.status).toBe(502);
    expect(answer.body).not.toContain('not yours');
  });

  // The target breaks off in the middle of its body: what came must not look
  // like a whole answer.
  it('should not pass on an answer that was cut off', async () => {
    const cut: Handler = (req, res) => {
      res.writeHead(200, {'content-length': '100'});
      res.write('half', () => req.socket.destroy());
    };
    fixture = await GatewayFixture.start([cut]);
    expect((await fixture.call('/once/x')).status).toBe(502);
  });

  // An answer without a length ends with its connection, and may have been cut
  // off. A length of ours would state that it is whole.
  it('should give an answer without a length no length of its own', async () => {
    const bare: Handler = req => {
      const id = String(req.headers['x-attempt-id']);
      const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nConnection: close\r\n\r\n`;
      req.socket.end(`${head}short`);
    };
    fixture = await GatewayFixture.start([bare]);
    const answer = await fixture.call('/once/x');
    expect(answer.body).toBe('short');
    expect(answer.headers['content-length']).toBeUndefined();
    expect(answer.headers['transfer-encoding']).toBeUndefined();
  });

  // The target hangs: the caller gets its answer at the route's time limit, and
  // learns that it may have run.
  it('should end a call at its time limit', async () => {
    const hangs: Handler = () => undefined;
    fixture = await GatewayFixture.start([hangs], {timeoutMs: 150});
    expect((await fixture.call('/once/x')).status).toBe(504);
  });
});

describe('streams through the gateway', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const WHOLE = [1, 2, 3, 4, 5].map(event).join('');

  it('should pass on all events as they came', async () => {
    fixture = await GatewayFixture.start([events(5)]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: WHOLE, isWhole: true});
  });

  // The first target dies in the middle of its third event. The caller sees one
  // stream: each event once, in order, with the head of the first target.
  it('should go on at another target after the last whole event', async () => {
    fixture = await GatewayFixture.start([events(5, 2), events(5, 2)]);
    const answer = await fixture.call('/stream/x');
    const heads = fixture.seen.map(({headers}) => headers['last-event-id']);
    expect(heads).toEqual([undefined, '2']);
    expect(answer.body).toBe(event(1) + event(2));
    expect(answer.isWhole).toBe(false);
  });

  it('should complete a stream that one target broke off', async () => {
    let calls = 0;
    const first = events(5, 2);
    const then = events(5);
    const shared: Handler = (req, res) =>
      (calls++ === 0 ? first : then)(req, res);
    fixture = await GatewayFixture.start([shared, shared]);
    const answer = await fixture.call('/stream/x');
    expect(answer).toMatchObject({status: 200, body: WHOLE, isWhole: true});
    expect(answer.headers['x-response-seal']).toBe(
      `seal-${fixture.seen[0]?.target}`
    );
  });

  // The second target goes on at the wrong place. The caller would get a piece
  // twice or miss one: the stream ends visibly cut instead.
  it('should not join pieces that do not follow each other', async () => {
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
    expect(fixture.seen).toHaveLength(1);
  });
});
