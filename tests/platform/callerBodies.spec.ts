import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const GOOD: Handler = (_req, res) => res.end('good');

let fixture: GatewayFixture;
afterEach(() => fixture.close());

// The deadline passed, and nothing listened while the body was read.
describe('a body that does not end', () => {
  it.each([
    ['with a length', 'Content-Length: 100', 'x'],
    ['in chunks', 'Transfer-Encoding: chunked', '1\r\nx\r\n'],
  ])('should be answered at the deadline: %s', async (_n, framing, body) => {
    fixture = await GatewayFixture.start([GOOD], {timeoutMs: 200});
    const {text} = await fixture.callRaw(
      'POST /once/x HTTP/1.1',
      [framing],
      body
    );
    expect(text).toMatch(/^HTTP\/1\.1 408 /);
    expect(text).toContain('bodyTimeout');
    expect(fixture.receivedRequests).toEqual([]);
    expect(fixture.log.events('request.refused')).toMatchObject([
      {refusal: {kind: 'bodyTimeout'}},
    ]);
  });
});

// Nothing bounded what all requests held together.
describe('bodies that take the memory for requests', () => {
  /** Callers may hold 768 bytes; the document allows bodies of 1,000. */
  const inbound = {machine: {memoryBytes: 8 << 10, descriptors: 4_096}};

  it('should be refused, and tell when to return', async () => {
    fixture = await GatewayFixture.start([GOOD], {}, {inbound});
    const large = await fixture.call('/once/x', {}, 'x'.repeat(900));
    expect(large.status).toBe(503);
    expect(Number(large.headers['retry-after'])).toBeGreaterThan(0);
    expect(fixture.receivedRequests).toEqual([]);
    expect(fixture.log.events('request.refused')).toMatchObject([
      {refusal: {kind: 'overloaded'}, boundBy: 'memory'},
    ]);
    const small = await fixture.call('/once/x', {}, 'x'.repeat(500));
    expect(small.status).toBe(200);
  });

  it('should give it back once they are answered', async () => {
    fixture = await GatewayFixture.start([GOOD], {}, {inbound});
    for (let i = 0; i < 5; i++) {
      const answer = await fixture.call('/once/x', {}, 'x'.repeat(500));
      expect(answer.status).toBe(200);
    }
    expect(await fixture.metricsText()).toMatch(
      /^marlpulley_request_bytes 0$/m
    );
  });
});
