import {readFileSync} from 'node:fs';
import http from 'node:http';
import {call, newIdempotencyKey} from '../bench/deployment/callers';
import {exampleOf, runExample} from './fixtures/pageExamples';
import {digestOf, request, sendBytes} from './fixtures/rawCalls';
import {StatsdListener} from './fixtures/statsd';
import {TestSystem, eventually} from './fixtures/testSystem';

const MIB = 1024 * 1024;
const CUSTOMER = {'x-customer': 'harbour'};

let system: TestSystem;
let statsd: StatsdListener;
let port: number;

beforeAll(async () => {
  statsd = await StatsdListener.start();
  system = await TestSystem.start({
    controls: 1,
    entries: 1,
    pools: [
      {pool: 'planner', kind: 'engine', count: 1, fakeArgs: ['--step-ms', '2']},
      {pool: 'allocation', kind: 'service', count: 2, fakeArgs: []},
    ],
    callersLines: ['header-timeout-ms = 300'],
    metricsPort: statsd.port,
  });
  port = system.port(0);
}, 60_000);
afterAll(async () => {
  await system.stop();
  statsd.close();
});

function head(...lines: readonly string[]): string {
  return `${['POST /x HTTP/1.1', 'host: a', 'x-customer: harbour', ...lines].join('\r\n')}\r\n\r\n`;
}

describe('requests and responses of callers', () => {
  it('should relay method, path, headers and body unchanged', async () => {
    const body = Buffer.from('{"box":"MSKU1234567"}');
    const {status, body: answer} = await request(
      port,
      {
        method: 'PUT',
        path: '/echo/a%20b?x=1&y=%2F',
        headers: {...CUSTOMER, 'x-own': 'ä', 'marlpulley-report': '{}'},
      },
      [body]
    );
    const echo = JSON.parse(answer.toString());
    expect([status, echo.method, echo.path, echo.digest]).toEqual([
      200,
      'PUT',
      '/echo/a%20b?x=1&y=%2F',
      digestOf(body),
    ]);
    expect(echo.headers['x-own']).toBe('ä');
    expect(echo.headers['marlpulley-report']).toBeUndefined();
  });

  it('should respond to HEAD with the head alone', async () => {
    const options = {method: 'HEAD', path: '/echo?bytes=5', headers: CUSTOMER};
    const {status, headers, body} = await request(port, options);
    expect([status, headers['content-length'], body.length]).toEqual([
      200,
      '5',
      0,
    ]);
  });

  // The agent and the entry left the framing to Node, which states none for these
  // methods: the body arrived as the bytes of another request.
  it.each(['DELETE', 'OPTIONS', 'GET'])(
    'should relay a body in chunks with %s',
    async method => {
      const body = Buffer.from('{"box":"MSKU1234567"}');
      const {status, body: answer} = await request(
        port,
        {
          method,
          path: '/echo',
          headers: {...CUSTOMER, 'transfer-encoding': 'chunked'},
        },
        [body]
      );
      const echo = JSON.parse(answer.toString());
      expect([status, echo.method, echo.digest]).toEqual([
        200,
        method,
        digestOf(body),
      ]);
    }
  );

  it('should refuse a transfer coding that it does not remove', async () => {
    const coding = 'transfer-encoding: gzip, chunked';
    const bytes = head(coding, 'connection: close') + '1\r\nx\r\n0\r\n\r\n';
    expect(await sendBytes(port, bytes)).toMatch(/^HTTP\/1\.1 400 /);
  });

  it('should relay chunks and trailers', async () => {
    const options = {path: '/feed?chunks=3', headers: CUSTOMER};
    const {headers, body, trailers} = await request(port, options);
    expect(headers['transfer-encoding']).toBe('chunked');
    expect(body.toString()).toBe('chunk 0\nchunk 1\nchunk 2\n');
    expect(trailers).toEqual({'x-chunks': '3'});
  });

  it.each([
    ['with a length', {'content-length': String(8 * MIB)}],
    ['in chunks', {'transfer-encoding': 'chunked'}],
  ])('should relay a large body %s', async (_, headers) => {
    const part = Buffer.alloc(MIB, 'ab');
    const parts = Array.from({length: 8}, () => part);
    const options = {
      method: 'POST',
      path: '/upload',
      headers: {...CUSTOMER, ...headers},
    };
    const {status, body} = await request(port, options, parts);
    expect(status).toBe(200);
    expect(JSON.parse(body.toString())).toMatchObject({
      bytes: 8 * MIB,
      digest: digestOf(Buffer.concat(parts)),
    });
  });

  it('should send 100 Continue to a caller that waits for it', async () => {
    const headers = {...CUSTOMER, expect: '100-continue', 'content-length': 2};
    const options = {method: 'POST', path: '/x', headers};
    const {status, continued} = await request(port, options, [
      Buffer.from('{}'),
    ]);
    expect([status, continued]).toEqual([200, true]);
  });

  // A caller waits for 100 Continue, but its request is refused. With the 100
  // sent first, it would send a large body in vain.
  it('should not send 100 Continue for a call that it refuses', async () => {
    const headers = {expect: '100-continue', 'content-length': 2};
    const options = {method: 'POST', path: '/x', headers};
    const {status, continued} = await request(port, options);
    expect([status, continued]).toEqual([401, false]);
  });

  // A caller reads slowly, or not at all. Without back-pressure, the entry and
  // the agent would buffer the whole response for each such caller.
  it('should hold back the target when the caller reads nothing', async () => {
    const names = ['entry-0', 'agent-allocation-0', 'agent-allocation-1'];
    const before = names.map(residentBytes);
    const options = {
      host: '127.0.0.1',
      port,
      path: `/big?bytes=${192 * MIB}`,
      headers: CUSTOMER,
      agent: false,
    } as const;
    const res = await new Promise<http.IncomingMessage>((resolve, reject) =>
      http.get(options, resolve).on('error', reject)
    );
    res.pause();
    for (let i = 0; i < 100; i++) await call(port, '/status');
    const grown = names.map((name, i) => residentBytes(name) - before[i]!);
    expect(Math.max(...grown)).toBeLessThan(96 * MIB);
    let bytes = 0;
    for await (const part of res) bytes += (part as Buffer).length;
    expect(bytes).toBe(192 * MIB);
  });

  it.each([
    ['assign', {status: 201, body: {accepted: {socket: 'C-14'}}}],
    ['stream', {tokens: 40}],
  ])('should serve the example "%s" of the page', async (name, expected) => {
    const url = `http://127.0.0.1:${port}`;
    const printed = await runExample(exampleOf('CALLERS.md', name), url);
    expect(printed).toMatchObject(expected);
  });
});

describe('callers that break the protocol', () => {
  beforeAll(async () => {
    await system.submit({extra: ['limit allocation timeout=2s attempts=3']});
    await system.waitForRevision();
  });

  it.each([
    ['no HTTP', 'nonsense\r\n\r\n', '400 Bad Request'],
    ['a bad length', head('content-length: many'), '400 Bad Request'],
    [
      'two framings',
      head('content-length: 1', 'transfer-encoding: chunked'),
      '400 Bad Request',
    ],
    ['a head too large', head(`x: ${'y'.repeat(40_000)}`), '431'],
    ['half a head', 'GET / HTTP/1.1\r\nx-cust', '408 Request Timeout'],
  ])(
    'should refuse %s with a status and an outcome',
    async (_, bytes, status) => {
      const before = statsd.count('request.refused', 'malformed-request');
      const text = await sendBytes(port, bytes);
      expect(text).toContain(`HTTP/1.1 ${status}`);
      expect(text).toContain('"outcome":"not run"');
      await eventually('a count', async () => {
        return statsd.count('request.refused', 'malformed-request') > before;
      });
      expect((await call(port, '/status')).status).toBe(200);
    }
  );

  // The head announces a body that never arrives. Without a timeout, the
  // request would stay open forever.
  it('should time out when the body does not arrive', async () => {
    const text = await sendBytes(port, `${head('content-length: 10')}abc`);
    expect(text).toContain('HTTP/1.1 408');
    expect(text).toContain('marlpulley-reason: body-timeout');
    expect(text).toContain('marlpulley-outcome: not run');
  });

  // Garbage follows a valid call on the same connection while the call is in
  // progress. The caller would read an error as the response to that call, and
  // its "not run" would be false.
  it('should not answer garbage with "not run" while a call is in work', async () => {
    await system.setLedgerFault({kind: 'answerLate', path: '/assign', ms: 500});
    const key = newIdempotencyKey();
    const lines = ['POST /assign HTTP/1.1', 'host: a', 'x-customer: harbour'];
    lines.push(`idempotency-key: ${key}`, 'content-length: 2', '', '{}');
    const ran = eventually('it runs', async () => {
      return (await system.ledgerRunCount(key)) === 1 && 'garbage\r\n\r\n';
    });
    const text = await sendBytes(port, lines.join('\r\n'), ran);
    expect(text).toBe('');
    const again = await eventually('the recorded answer', async () => {
      const resent = await assignRaw(key);
      return resent.status === 201 && resent;
    });
    expect(JSON.parse(again.body)).toMatchObject({key});
    expect(await system.ledgerRunCount(key)).toBe(1);
  }, 30_000);

  it('should not run a call whose body is malformed', async () => {
    const key = newIdempotencyKey();
    const bytes = `${head('transfer-encoding: chunked', `idempotency-key: ${key}`).replace('/x', '/assign')}zz\r\n`;
    expect(await sendBytes(port, bytes)).not.toContain('HTTP/1.1 2');
    expect((await call(port, '/status')).status).toBe(200);
    expect(await system.ledgerRunCount(key)).toBe(0);
  });
});

function assignRaw(key: string) {
  const headers = {'idempotency-key': key};
  return call(port, '/assign', {method: 'POST', headers, body: '{}'});
}

function residentBytes(name: string): number {
  const {pid} = system.deployment.child(name);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) * 1024;
}
