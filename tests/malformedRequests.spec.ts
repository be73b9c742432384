import http from 'node:http';
import {openInbound} from './fixtures/openInbound';
import {sendBytes} from './fixtures/rawCalls';
import {onCleanup, runCleanups} from './fixtures/targets';
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
