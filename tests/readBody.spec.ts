import {EventEmitter} from 'node:events';
import http from 'node:http';
import type {Socket} from 'node:net';
import {ByteBuffer} from '../src/core/byteBuffer';
import {Cancellation} from '../src/core/cancellation';
import {FragmentedReads} from '../src/core/fragmentedReads';
import type {BodyLimits, BodyRead} from '../src/core/readBody';
import {readBody} from '../src/core/readBody';
import {runCleanups, startScriptedServer} from './fixtures/targets';

afterEach(runCleanups);

type Send = (req: http.ClientRequest) => void;

/** What a server reads of a request's body. */
async function readAtServer(
  limits: BodyLimits,
  send: Send,
  headers: http.OutgoingHttpHeaders = {}
): Promise<BodyRead> {
  let settle: (read: Promise<BodyRead>) => void;
  const read = new Promise<BodyRead>(resolve => (settle = resolve));
  const {port} = await startScriptedServer(req =>
    settle(readBody(req, limits))
  );
  const req = http.request({port, host: '127.0.0.1', method: 'POST', headers});
  req.on('error', () => undefined);
  send(req);
  const result = await read;
  req.destroy();
  return result;
}

function sendChunks(...chunks: readonly string[]): Send {
  return req => {
    for (const chunk of chunks) req.write(chunk);
    req.end();
  };
}

describe('a body that is read', () => {
  it('should be the bytes of all its chunks', async () => {
    const read = await readAtServer(
      {maxBytes: 9},
      sendChunks('abc', 'd', 'ef')
    );
    expect(read).toEqual({kind: 'whole', body: Buffer.from('abcdef')});
  });

  it('should end at its bound', async () => {
    const send = sendChunks('abc', 'def', 'ghi');
    expect(await readAtServer({maxBytes: 8}, send)).toMatchObject({
      kind: 'tooLarge',
    });
  });

  // What is announced is known before a byte is read.
  it('should not be read when it announces too much', async () => {
    const headers = {'content-length': 100};
    const send: Send = req => req.flushHeaders();
    expect(await readAtServer({maxBytes: 99}, send, headers)).toEqual({
      kind: 'tooLarge',
      begun: Buffer.alloc(0),
    });
  });

  it('should end when there is no room for more', async () => {
    const sizes: number[] = [];
    const room = {grow: (bytes: number) => sizes.push(bytes) < 2};
    const send: Send = req => {
      req.write('abc');
      setImmediate(() => req.write('def'));
    };
    const read = await readAtServer({maxBytes: 99, room}, send);
    expect(read).toEqual({kind: 'noRoom', begun: Buffer.from('abcdef')});
    expect(sizes).toEqual([3, 6]);
  });

  it('should end when it is stopped', async () => {
    const signal = new Cancellation();
    setImmediate(() => signal.cancel());
    const send: Send = req => req.flushHeaders();
    expect(await readAtServer({maxBytes: 9, signal}, send)).toEqual({
      kind: 'stopped',
    });
  });

  it('should not pass for whole when its connection closes', async () => {
    const send: Send = req => req.write('abc', () => req.destroy());
    expect(await readAtServer({maxBytes: 9}, send)).toEqual({kind: 'cut'});
  });
});

describe('a byte buffer', () => {
  // Chunks belong to the stream, which may hand out the same memory again.
  it('should leave the chunks as they are', () => {
    const first = Buffer.from('abc');
    const buffer = new ByteBuffer();
    for (const chunk of [first, Buffer.from('def'), Buffer.from('g')])
      buffer.append(chunk);
    expect(buffer.bytes().toString()).toBe('abcdefg');
    expect(first.toString()).toBe('abc');
  });
});

// A crowd of such bodies took all of the processor, and others waited for seconds.
describe('bodies in tiny chunks', () => {
  const nextTurn = () => new Promise(resolve => setImmediate(resolve));

  function openBodies(count: number) {
    const reads = new FragmentedReads();
    return Array.from({length: count}, () => {
      const socket = Object.assign(new EventEmitter(), {
        pause: jest.fn(),
        resume: jest.fn(),
      });
      const body = reads.open(socket as unknown as Socket);
      const receive = (chunks: number, bytes: number) => {
        for (let i = 0; i < chunks; i++) body.add(bytes);
      };
      const {pause, resume} = socket;
      return {pause, resume, ...body, receive};
    });
  }

  it('should be read one after the other', async () => {
    const bodies = openBodies(3);
    for (const {receive} of bodies) receive(1_000, 1);
    const resumed = () =>
      bodies.map(({resume}) => resume.mock.calls.length).join('');
    for (const {pause} of bodies) expect(pause).toHaveBeenCalledTimes(1);
    const order = [resumed()];
    for (let turn = 0; turn < 3; turn++) {
      await nextTurn();
      order.push(resumed());
    }
    expect(order).toEqual(['000', '100', '110', '111']);
  });

  it('should not hold up larger chunks, or bodies of a few', async () => {
    const [few, large] = openBodies(2);
    few!.receive(500, 1);
    large!.receive(10_000, 1_000);
    await nextTurn();
    expect(few!.pause).not.toHaveBeenCalled();
    expect(large!.pause).not.toHaveBeenCalled();
  });

  it('should leave their connections to what follows', async () => {
    const [body] = openBodies(1);
    body!.receive(1_000, 1);
    body!.close();
    expect(body!.resume).toHaveBeenCalledTimes(1);
    await nextTurn();
    expect(body!.pause).toHaveBeenCalledTimes(1);
  });
});
