import http from 'node:http';
import {Writable} from 'node:stream';
import {pipeBody} from '../src/core/pipeBody';
import {runCleanups, startScriptedServer} from './fixtures/targets';

afterEach(runCleanups);

/** What a sink gets of a request's body, write by write, until the request has ended. */
async function pipeAtServer(
  send: (req: http.ClientRequest) => void,
  sinkOptions: {readonly highWaterMark?: number} = {}
): Promise<readonly string[]> {
  const writes: string[] = [];
  let settle: () => void;
  const ended = new Promise<void>(resolve => (settle = resolve));
  const {port} = await startScriptedServer(req => {
    const sink = new Writable({
      ...sinkOptions,
      write(bytes: Buffer, _encoding, done) {
        writes.push(bytes.toString());
        setImmediate(done);
      },
    });
    pipeBody(req, sink);
    req.on('end', () => sink.end(settle));
  });
  const req = http.request({port, host: '127.0.0.1', method: 'POST'});
  req.on('error', () => undefined);
  send(req);
  await ended;
  req.destroy();
  return writes;
}

describe('a body that is passed on', () => {
  // Each chunk was written for itself, and waited with a hundred times its size.
  it('should be written in a few parts though it comes in tiny ones', async () => {
    const writes = await pipeAtServer(req => {
      req.cork();
      for (let i = 0; i < 1_000; i++) req.write('x');
      req.end();
    });
    expect(writes.join('')).toBe('x'.repeat(1_000));
    expect(writes.length).toBeLessThan(100);
  });

  it('should be whole when its sink is slow', async () => {
    const part = 'y'.repeat(40_000);
    const writes = await pipeAtServer(
      req => {
        for (let i = 0; i < 50; i++) req.write(part);
        req.end();
      },
      {highWaterMark: 1}
    );
    expect(writes.join('')).toBe(part.repeat(50));
  });
});
