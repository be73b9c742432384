import {
  assign,
  call,
  chat,
  newIdempotencyKey,
} from '../../bench/deployment/callers';
import {readUntilClosed, request} from '../fixtures/rawCalls';
import {TestSystem} from '../fixtures/testSystem';

const CUSTOMER = {'x-customer': 'harbour'};

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start({
    controls: 1,
    entries: 1,
    pools: [
      {
        pool: 'planner',
        kind: 'engine',
        count: 1,
        fakeArgs: ['--stated-stream-bytes', '100000'],
      },
      {pool: 'allocation', kind: 'service', count: 2, fakeArgs: []},
    ],
  });
}, 60_000);
afterAll(() => system.stop());

/** Sends a request; resolves with the response, which has no mark of its end. */
async function unmarkedResponse(
  method: string,
  path: string,
  headers: Readonly<Record<string, string>> = {}
) {
  const res = await request(system.port(0), {
    method,
    path,
    headers: {...CUSTOMER, ...headers},
  });
  expect(res.headers).not.toHaveProperty('content-length');
  expect(res.headers).not.toHaveProperty('transfer-encoding');
  return {status: res.status, body: res.body.toString()};
}

// The service's responses have neither a length nor chunks. Chunks between the agent
// and the entry, and the length of a recorded body, marked an end that nothing had
// marked.
describe('responses of a service that end with their connection', () => {
  const ANSWER = {status: 201, body: 'recorded'};

  it('should reach the caller with their end unmarked', async () => {
    const path = '/echo/unmarked';
    await system.setLedgerFault({kind: 'answerUnmarked', path});
    expect(await unmarkedResponse('GET', path)).toEqual(ANSWER);
  });

  it('should be recorded for resends with their end unmarked', async () => {
    const path = '/assign';
    const key = {'idempotency-key': newIdempotencyKey()};
    await system.setLedgerFault({kind: 'answerUnmarked', path, times: 1});
    expect(await unmarkedResponse('POST', path, key)).toEqual(ANSWER);
    expect(await unmarkedResponse('POST', path, key)).toEqual(ANSWER);
    expect(await system.ledgerRunCount(key['idempotency-key'])).toBe(1);
  });

  it('should be reset for the caller after a reset', async () => {
    const path = '/echo/reset';
    await system.setLedgerFault({kind: 'resetUnmarked', path});
    const {wasReset} = await readUntilClosed(
      system.port(0),
      `GET ${path} HTTP/1.1\r\nHost: a\r\nX-Customer: harbour\r\n\r\n`
    );
    expect(wasReset).toBe(true);
  });

  it('should not be recorded after a reset', async () => {
    const key = newIdempotencyKey();
    await system.setLedgerFault({kind: 'resetUnmarked', path: '/assign'});
    const first = await assign(system.port(0), key, 1);
    const again = await assign(system.port(0), key, 1);
    expect([first.reason, again.reason]).toEqual([
      'outcome-unknown',
      'outcome-unknown',
    ]);
  });
});

// The engine states a length that its stream doesn't have, as after a resumption at
// another engine. The caller waited for the rest.
describe('a token stream with a length', () => {
  it('should reach the caller without it, and whole', async () => {
    const {body} = await chat(system.port(0), 'which slot', 5, true);
    expect(body.trimEnd().endsWith('data: [DONE]')).toBe(true);
  });
});

// The service ends the response by its last chunk, but in the middle of an event.
describe('a stream of events that is no token stream', () => {
  it('should not look complete if it ends inside an event', async () => {
    const path = '/echo/feed';
    await system.setLedgerFault({kind: 'endInsideEvent', path});
    const answer = call(system.port(0), path);
    await expect(answer).rejects.toThrow('terminated');
  });
});
