import http from 'node:http';
import {Writable} from 'node:stream';
import {FakeLedger} from '../fakes/ledger';
import {
  relayResponse,
  ResponseRelayEnd,
  ResponseSource,
} from '../src/entry/chat/relayResponse';
import {
  runCleanups,
  startScriptedServer,
  sendPost,
  startFake,
} from './fixtures/targets';

interface HttpSource extends ResponseSource {
  readonly res: http.IncomingMessage;
}

const HOLD_BYTES = 1000;

/** Requests a path from a target; the response becomes a source. */
function openSource(port: number, path: string): Promise<HttpSource> {
  return new Promise((resolve, reject) => {
    const req = http.request({host: '127.0.0.1', port, path, agent: false});
    req.once('error', reject);
    req.once('response', res =>
      resolve({
        res,
        body: res,
        complete: () => res.complete,
        cancel: () => req.destroy(),
      })
    );
    req.end();
  });
}

/** Starts a relay in front of a ledger that makes up to `attempts` attempts. */
async function relayTo(
  ledger: FakeLedger,
  attempts: number,
  signal = new AbortController().signal
) {
  const ends: ResponseRelayEnd<HttpSource>[] = [];
  let left = attempts;
  const {port} = await startScriptedServer((req, res) => {
    const open = () => openSource(ledger.port, req.url ?? '/');
    const retry = () =>
      --left > 0 ? open() : Promise.reject(new Error('no attempt left'));
    void open().then(async source => {
      const end = await relayResponse<HttpSource>({
        source,
        caller: res,
        maxHeldBytes: HOLD_BYTES,
        signal,
        writeHead: ({res: {statusCode, headers}}) =>
          res.writeHead(statusCode ?? 500, headers),
        writeEnd: () => res.end(),
        retry: attempts > 1 ? retry : undefined,
      });
      ends.push(end);
      if (end.kind === 'lost') res.writeHead(502).end(end.detail);
    });
  });
  return {port, ends};
}

afterEach(runCleanups);

describe('relay of complete responses', () => {
  it.each([
    ['small', '/echo', 1],
    ['large', '/echo?bytes=3000000', 3_000_000],
    ['chunked', '/echo?chunks=50', 'chunk 0\n'.length * 50],
  ])('should relay a %s response completely', async (_name, path, bytes) => {
    const ledger = await startFake(new FakeLedger());
    const {port, ends} = await relayTo(ledger, 2);
    const relayed = await sendPost(port, path, {});
    expect(relayed).toMatchObject({status: 200, whole: true});
    expect(relayed.text.length).toBeGreaterThanOrEqual(bytes);
    expect(ends.map(end => end.kind)).toEqual(['done']);
    expect(ledger.runs).toHaveLength(1);
  });

  it('should retry an idempotent call when its response is lost unseen', async () => {
    // The target dies within its response. Small responses are held back, so
    // the caller has received no byte yet and gets the complete response of a
    // retry.
    const ledger = await startFake(new FakeLedger());
    ledger.injectFault({kind: 'truncate', times: 2});
    const {port, ends} = await relayTo(ledger, 3);
    const reply = await sendPost(port, '/echo', {});
    expect(reply).toMatchObject({status: 200, whole: true});
    expect(JSON.parse(reply.text)).toMatchObject({path: '/echo'});
    expect(ends.map(end => end.kind)).toEqual(['done']);
    expect(ledger.runs).toHaveLength(3);
  });

  it.each([
    ['not idempotent', 1, 1],
    ['out of attempts', 2, 2],
  ])(
    'should report the response as lost when %s',
    async (_name, attempts, runs) => {
      const ledger = await startFake(new FakeLedger());
      ledger.injectFault({kind: 'truncate', times: 9});
      const {port, ends} = await relayTo(ledger, attempts);
      expect(await sendPost(port, '/echo', {})).toMatchObject({status: 502});
      expect(ends.map(end => end.kind)).toEqual(['lost']);
      expect(ledger.runs).toHaveLength(runs);
    }
  );

  it('should destroy the connection when a response is lost after its head', async () => {
    // The response is larger than the maximum to hold back, so the caller has
    // its head and a part of its body when the target dies. A retry would
    // splice two responses, so the connection is closed short of the stated
    // length.
    const {port: broken} = await startScriptedServer((_req, res) => {
      res.writeHead(200, {'content-length': 10_000});
      res.write('x'.repeat(5000), () => res.destroy());
    });
    const ledger = {port: broken} as FakeLedger;
    const {port, ends} = await relayTo(ledger, 3);
    const reply = await sendPost(port, '/', {});
    expect(reply).toMatchObject({status: 200, whole: false});
    expect(ends.map(end => end.kind)).toEqual(['cut']);
  });

  it.each([
    ['the caller disconnects', 'caller gone'],
    ['the deadline passes', 'lost'],
  ])('should stop the target when %s', async (name, kind) => {
    const abort = new AbortController();
    let stopped: () => void;
    const targetStopped = new Promise<void>(done => (stopped = done));
    let caller: http.ClientRequest | undefined = undefined;
    const {port: target} = await startScriptedServer((_req, res) => {
      res.once('close', () => stopped());
      res
        .writeHead(200)
        .write('x', () =>
          name === 'the caller disconnects' ? caller?.destroy() : abort.abort()
        );
    });
    const {port, ends} = await relayTo(
      {port: target} as FakeLedger,
      3,
      abort.signal
    );
    caller = http.get({host: '127.0.0.1', port, agent: false});
    caller.on('error', () => undefined);
    await targetStopped;
    while (ends.length === 0) await new Promise(setImmediate);
    expect(ends.map(end => end.kind)).toEqual([kind]);
  });

  it('should apply back-pressure for a caller that reads slowly', async () => {
    const written: number[] = [];
    const waiting: (() => void)[] = [];
    const caller = new Writable({
      highWaterMark: 16,
      write: (chunk: Buffer, _encoding, done) => {
        written.push(chunk.length);
        waiting.push(done);
      },
    });
    const ledger = await startFake(new FakeLedger());
    const source = await openSource(ledger.port, '/echo?bytes=5000000');
    const end = relayResponse({
      source,
      caller,
      maxHeldBytes: 0,
      signal: new AbortController().signal,
      writeHead: () => undefined,
      writeEnd: () => caller.end(),
    });
    while (waiting.length === 0) await new Promise(setImmediate);
    for (let i = 0; i < 50; i++) await new Promise(setImmediate);
    expect(written).toHaveLength(1);
    caller.destroy();
    expect(await end).toEqual({kind: 'caller gone'});
  });
});
