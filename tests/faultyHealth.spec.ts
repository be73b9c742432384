import type {Socket} from 'node:net';
import {
  createAdapter,
  neverAborted,
  runCleanups,
  startScriptedServer,
} from './fixtures/targets';

const HEALTH_PATH = '/health';

/** Sends the part again and again until the peer closes the connection. */
function sendForever(socket: Socket, part: string): void {
  const send = () => {
    while (socket.writable && socket.write(part));
  };
  socket.on('drain', send);
  socket.on('error', () => undefined);
  send();
}

afterEach(runCleanups);

describe.each(['engine', 'service'] as const)(
  'a health check of a faulty target: %s',
  kind => {
    function check(port: number): Promise<unknown> {
      return createAdapter(kind, port, HEALTH_PATH).observe(neverAborted);
    }

    // A target that answered with status 000 counted as healthy.
    it.each(['000', '099', '101', '600', '999'])(
      'should fail with status %s',
      async status => {
        const {port} = await startScriptedServer(req =>
          req.socket.end(`HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n\r\n{}`)
        );
        await expect(check(port)).rejects.toThrow();
      }
    );

    // The connection stayed open, and the target could go on sending.
    it.each([
      ['interim responses', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(64)],
      ['fields', `HTTP/1.1 200 OK\r\n${'a: b\r\n'.repeat(4_096)}`],
      [
        'a body',
        `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n${' '.repeat(1 << 16)}`,
      ],
      ['junk', '\u0001'.repeat(4_096)],
    ])('should fail and close the connection: %s', async (_what, part) => {
      let closed: Promise<unknown> = Promise.resolve();
      const {port} = await startScriptedServer(req => {
        closed = new Promise(done => req.socket.once('close', done));
        sendForever(req.socket, part);
      });
      await expect(check(port)).rejects.toThrow();
      await closed;
    });
  }
);
