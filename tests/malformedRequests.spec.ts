import http from 'node:http';
import {UpstreamError, sendUpstream} from '../src/core/upstream';
import {openInbound} from './fixtures/openInbound';
import {sendBytes} from './fixtures/rawCalls';
import {
  neverAborted,
  onCleanup,
  runCleanups,
  startScriptedServer,
} from './fixtures/targets';
import {GatewayFixture} from './platform/gatewayFixture';

const HOST = '127.0.0.1';
const LENGTH = 'Content-Length: 0';

afterEach(runCleanups);

// The parsers of some runtimes accept such names. No request with one can be sent on, and
// each target to which that failed counted as unreachable.
describe('a request with a name that is no token', () => {
  it.each(['X Y: 1', 'X : 1', ': 1', 'Transfer Encoding: chunked'])(
    'should be refused by the gateway, and cost no target its health: %s',
    async line => {
      const fixture = await GatewayFixture.start([(_req, res) => res.end('x')]);
      onCleanup(() => fixture.close());
      const malformed = await fixture.callRaw('POST /once/x HTTP/1.1', [
        line,
        LENGTH,
      ]);
      expect(malformed.text).toMatch(/^HTTP\/1\.1 400 /);
      expect((await fixture.call('/once/x')).status).toBe(200);
      expect(fixture.receivedRequests).toHaveLength(1);
    }
  );

  it('should be refused at each port', async () => {
    const server = http.createServer();
    const isServed = jest.fn();
    openInbound().guard('control', isServed).attach(server);
    await new Promise<void>(done => server.listen(0, HOST, done));
    onCleanup(() => new Promise(done => server.close(done)));
    const {port} = server.address() as {port: number};
    const request = `GET / HTTP/1.1\r\nHost: a\r\nX Y: 1\r\n${LENGTH}\r\n\r\n`;
    expect(await sendBytes(port, request)).toMatch(/^HTTP\/1\.1 400 /);
    expect(isServed).not.toHaveBeenCalled();
  });
});

describe('a request with a malformed trailer', () => {
  // Passing it on threw an exception in a listener, which ended the process.
  it('should not look complete to the next hop', async () => {
    const bodies: Promise<boolean>[] = [];
    const target = await startScriptedServer((req, res) => {
      req.resume();
      bodies.push(
        new Promise(done => req.once('close', () => done(req.complete)))
      );
      req.once('end', () => res.end());
    });
    let outcome: Promise<unknown> = Promise.resolve();
    const relay = await startScriptedServer(req => {
      req.on('error', () => undefined);
      outcome = sendUpstream({
        secure: false,
        host: HOST,
        port: target.port,
        agent: false,
        method: 'POST',
        path: '/',
        headers: ['host', HOST],
        body: req,
        signal: neverAborted,
      }).catch((err: unknown) => err);
      void outcome.then(() => req.socket.destroy());
    });
    let finish: (bytes: string) => void = () => undefined;
    target.server.once('request', () => finish('0\r\nX Y: 1\r\n\r\n'));
    await sendBytes(
      relay.port,
      'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n',
      new Promise(resolve => (finish = resolve))
    );
    expect(await outcome).toBeInstanceOf(UpstreamError);
    expect(await Promise.all(bodies)).toEqual([false]);
  });
});
