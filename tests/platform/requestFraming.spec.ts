import type http from 'node:http';
import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

/** A body that would be a request by itself. */
const BODY = 'GET /smuggled HTTP/1.1\r\nHost: a.example\r\n\r\n';
const CHUNKS = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;
const CHUNKED = 'Transfer-Encoding: chunked';
const LENGTH = `Content-Length: ${BODY.length}`;
const METHODS = ['GET', 'HEAD', 'OPTIONS', 'DELETE', 'POST', 'PUT', 'PATCH'];

interface ReceivedRequest {
  readonly method: string | undefined;
  readonly url: string | undefined;
  readonly length: string | undefined;
  readonly coding: string | undefined;
  readonly body: string;
}

let fixture: GatewayFixture;
let received: ReceivedRequest[];
beforeEach(() => (received = []));
afterEach(() => fixture.close());

/** Records each request with its body, then responds. */
function recording(respond: Handler = (_req, res) => res.end('x')): Handler {
  return (req, res) => {
    let body = '';
    req.on('data', chunk => (body += String(chunk)));
    req.on('end', () => {
      received.push(receivedRequest(req, body));
      respond(req, res);
    });
  };
}

function receivedRequest(
  {method, url, headers}: http.IncomingMessage,
  body: string
): ReceivedRequest {
  const {'content-length': length, 'transfer-encoding': coding} = headers;
  return {method, url, length, coding, body};
}

function call(method: string, headers: readonly string[], bytes: string) {
  const line = `${method} /idempotent/x HTTP/1.1`;
  return fixture.callRaw(line, ['Connection: close', ...headers], bytes);
}

// The framing was removed with the other headers of one connection and left to Node,
// which states none for methods that usually have no body: the target read an empty
// body, and the bytes of the caller as its next request.
describe('body of a forwarded request', () => {
  const whole = {
    url: '/idempotent/x',
    length: String(BODY.length),
    coding: undefined,
    body: BODY,
  };

  it.each(
    METHODS.flatMap(method => [
      [method, CHUNKED, CHUNKS],
      [method, LENGTH, BODY],
    ])
  )('should have its length stated: %s, %s', async (method, framing, bytes) => {
    fixture = await GatewayFixture.start([recording()]);
    const {text} = await call(method, [framing], bytes);
    expect(text).toMatch(/^HTTP\/1\.1 200 /);
    expect(received).toEqual([{method, ...whole}]);
  });

  it.each(METHODS)('should be empty by its length: %s', async method => {
    fixture = await GatewayFixture.start([recording()]);
    await call(method, method === 'POST' ? ['Content-Length: 0'] : [], '');
    expect(received).toMatchObject([{method, length: '0', body: ''}]);
  });

  it('should not be announced to have trailers', async () => {
    fixture = await GatewayFixture.start([recording()]);
    const chunks = CHUNKS.replace(/\r\n$/, 'X-Sum: 1\r\n\r\n');
    const {text} = await call('DELETE', [CHUNKED, 'Trailer: X-Sum'], chunks);
    expect(text).toMatch(/^HTTP\/1\.1 200 /);
    expect(received).toEqual([{method: 'DELETE', ...whole}]);
  });

  it('should be whole after Expect: 100-continue', async () => {
    fixture = await GatewayFixture.start([recording()]);
    const expectation = 'Expect: 100-continue';
    const {text} = await call('DELETE', [CHUNKED, expectation], CHUNKS);
    expect(text).toMatch(/^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200 /);
    expect(received).toEqual([{method: 'DELETE', ...whole}]);
  });

  it('should be the same in a repeat', async () => {
    const fails = recording((_req, res) => res.writeHead(500).end());
    fixture = await GatewayFixture.start([fails, fails]);
    await call('DELETE', [CHUNKED], CHUNKS);
    const sent = {method: 'DELETE', ...whole};
    expect(received).toEqual([sent, sent]);
  });

  it('should be the same where another target continues the stream', async () => {
    const breaksOff = recording((req, res) => {
      res.writeHead(200, {'content-type': 'text/event-stream'});
      res.write('id: 1\ndata: x\n\n', () => req.socket.destroy());
    });
    fixture = await GatewayFixture.start([breaksOff, breaksOff]);
    const line = 'DELETE /stream/x HTTP/1.1';
    await fixture.callRaw(line, ['Connection: close', CHUNKED], CHUNKS);
    const sent = {method: 'DELETE', ...whole, url: '/stream/x'};
    expect(received).toEqual([sent, sent]);
  });
});

describe('request whose framing is ambiguous', () => {
  // A gateway and a target that decide differently where such a body ends let a caller
  // smuggle a request.
  it.each([
    ['a length before chunks', ['Content-Length: 4', CHUNKED], CHUNKS],
    ['a length after chunks', [CHUNKED, 'Content-Length: 4'], CHUNKS],
    ['two lengths', [LENGTH, 'Content-Length: 4'], BODY],
    [
      'a coding that is not removed',
      ['Transfer-Encoding: gzip, chunked'],
      CHUNKS,
    ],
    ['an unknown coding', ['Transfer-Encoding: xchunked'], CHUNKS],
    ['a negative length', ['Content-Length: -1'], BODY],
  ])('should be refused: %s', async (_name, headers, bytes) => {
    fixture = await GatewayFixture.start([recording()]);
    const {text} = await call('DELETE', headers, bytes);
    expect(text).toMatch(/^HTTP\/1\.1 400 /);
    expect(received).toEqual([]);
  });
});
