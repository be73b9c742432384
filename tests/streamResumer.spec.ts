import {PassThrough, Readable, Writable} from 'node:stream';
import {STREAM_MODEL} from '../bench/fuzz/streamModel';
import {refuse} from '../src/core/refusal';
import {ResumePoint} from '../src/entry/chat/streamMachine';
import {
  relayStream,
  StreamRelayOptions,
  StreamSource,
} from '../src/entry/chat/streamResumer';

const END = 'data: [DONE]\n\n';
const TOTAL = 4;

function token(index: number, version = 'v1'): string {
  const finish_reason = index + 1 === TOTAL ? 'stop' : null;
  const choices = [{delta: {content: `t${index}`}, finish_reason}];
  const chunk = {system_fingerprint: version, choices};
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

function tokens(from: number, to: number, version = 'v1'): string {
  let text = '';
  for (let index = from; index < to; index++) text += token(index, version);
  return text;
}

const WHOLE = tokens(0, TOTAL) + END;

type Ending = 'end' | 'reset' | 'silence';

async function* source(text: string, ending: Ending) {
  yield Buffer.from(text);
  if (ending === 'reset') throw new Error('ECONNRESET');
  if (ending === 'silence') await new Promise(() => undefined);
}

class FakeSource implements StreamSource {
  readonly body: Readable;
  readonly peer = 'planner-1';
  cancelled = 0;

  constructor(
    text: string,
    ending: Ending = 'end',
    readonly modelVersion: string | undefined = 'v1'
  ) {
    this.body = Readable.from(source(text, ending), {objectMode: false});
  }

  cancel(): void {
    this.cancelled++;
    this.body.destroy();
  }
}

class Caller extends Writable {
  text = '';
  held: (() => void)[] = [];
  slow = false;

  override _write(chunk: Buffer, _encoding: string, done: () => void): void {
    this.text += chunk.toString();
    if (this.slow) this.held.push(done);
    else done();
  }

  read(): void {
    for (const done of this.held.splice(0)) done();
  }
}

function setUp(
  first: StreamSource,
  others: readonly (FakeSource | Error)[] = [],
  over: Partial<StreamRelayOptions> = {}
) {
  const caller = new Caller({highWaterMark: 100});
  const points: ResumePoint[] = [];
  const queue = [...others];
  const relay: StreamRelayOptions = {
    source: first,
    caller,
    limits: {fromToken: 0, maxLosses: 3, maxEventChars: 1000},
    firstTokenTimeoutMs: 2000,
    tokenTimeoutMs: 500,
    callerTimeoutMs: 30_000,
    signal: new AbortController().signal,
    reopen: async point => {
      points.push(point);
      const next = queue.shift();
      if (next instanceof Error) throw next;
      return next ?? Promise.reject(new Error('none left'));
    },
    errorEventData: refusal => JSON.stringify({error: refusal}),
    ...over,
  };
  return {relay, caller, points, end: relayStream(relay)};
}

afterEach(() => jest.useRealTimers());

describe('stream resumption', () => {
  // A target, its agent or a connection is lost at some token. Another target
  // of the same version resumes at the next token, and tokens that it repeats
  // are dropped: the caller sees only a pause.
  it.each<[string, FakeSource, FakeSource[], number[]]>([
    [
      'before the first token',
      new FakeSource('', 'end'),
      [new FakeSource(WHOLE)],
      [0],
    ],
    [
      'at token 0, by a reset',
      new FakeSource(token(0), 'reset'),
      [new FakeSource(tokens(1, TOTAL) + END)],
      [1],
    ],
    [
      'within an event',
      new FakeSource(tokens(0, 2) + token(2).slice(0, 20)),
      [new FakeSource(tokens(2, TOTAL) + END)],
      [2],
    ],
    [
      'after the last token, before the end',
      new FakeSource(tokens(0, TOTAL)),
      [new FakeSource(END)],
      [4],
    ],
    [
      'twice',
      new FakeSource(tokens(0, 1)),
      [new FakeSource(token(1), 'reset'), new FakeSource(tokens(2, 4) + END)],
      [1, 2],
    ],
    [
      'and restarted by the other target',
      new FakeSource(tokens(0, 3)),
      [new FakeSource(WHOLE)],
      [3],
    ],
    [
      'by a skipped token',
      new FakeSource(token(0) + token(2) + END),
      [new FakeSource(tokens(1, 4) + END)],
      [1],
    ],
    [
      "by the target's own error event",
      new FakeSource(`${tokens(0, 2)}event: error\ndata: {}\n\n`),
      [new FakeSource(tokens(2, 4) + END)],
      [2],
    ],
    [
      'by a well-formed end that lacks tokens',
      new FakeSource(tokens(0, 2) + END),
      [new FakeSource(tokens(2, 4) + END)],
      [2],
    ],
    ['never, with repeats', new FakeSource(token(0) + WHOLE), [], []],
  ])('should deliver all when lost %s', async (_name, first, others, at) => {
    const {end, caller, points} = setUp(first, others);
    expect(await end).toEqual({kind: 'done', delivered: TOTAL});
    expect(caller.text).toBe(WHOLE);
    expect(points.map(point => point.fromToken)).toEqual(at);
    for (const point of points) expect(point.modelVersion).toBe('v1');
  });

  // No other target can resume at the exact token. The caller gets all tokens
  // so far, an error event with the cause, and a destroyed connection, so that
  // it cannot mistake the stream for complete. The error never says "not run".
  it.each<[string, FakeSource, (FakeSource | Error)[], string]>([
    [
      'the version differs',
      new FakeSource(tokens(0, 2)),
      [new FakeSource(tokens(2, 4, 'v2') + END)],
      'model version differs',
    ],
    [
      'the version differs though announced as equal, after a role',
      new FakeSource(tokens(0, 2)),
      [
        new FakeSource(
          `data: {"choices":[{"delta":{"role":"assistant"}}]}\n\n${tokens(2, 4, 'v2')}${END}`
        ),
      ],
      'model version differs',
    ],
    [
      'the other target gives no ids',
      new FakeSource(tokens(0, 2)),
      [new FakeSource(WHOLE.replace(/^id: .*\n/gm, ''))],
      'tokens without ids',
    ],
    [
      'no target is left',
      new FakeSource(tokens(0, 2)),
      [refuse('no-target', 'route', 'entry-1', 'all are out')],
      'no other target',
    ],
    [
      'losses go on',
      new FakeSource(tokens(0, 2)),
      [1, 2, 3].map(() => new FakeSource('')),
      'too many losses',
    ],
    [
      'another answer ends before the point reached',
      new FakeSource(tokens(0, 2).replaceAll(',"finish_reason":null', '')),
      [new FakeSource(token(0).replace(',"finish_reason":null', '') + END)],
      'answer differs',
    ],
  ])('should cut when %s', async (_name, first, others, cause) => {
    const {end, caller} = setUp(first, others);
    const result = await end;
    expect(result).toMatchObject({
      kind: 'cut',
      delivered: 2,
      refusal: {reason: 'stream-cut', step: 'answer', peer: 'planner-1'},
    });
    const [delivered, error] = caller.text.split('event: error\n');
    expect([...delivered!.matchAll(/t\d/g)].map(String)).toEqual(['t0', 't1']);
    expect(error).toContain(cause);
    expect(caller.text).not.toContain('[DONE]');
    expect([caller.destroyed, caller.writableEnded]).toEqual([true, false]);
    expect(first.cancelled).toBe(1);
  });

  it('should take over from a target that stalls between tokens', async () => {
    jest.useFakeTimers({doNotFake: ['nextTick', 'setImmediate']});
    const first = new FakeSource(tokens(0, 2), 'silence');
    const other = new FakeSource(tokens(2, 4) + END);
    const {end, caller, points} = setUp(first, [other]);
    while (!caller.text.includes('t1')) await new Promise(setImmediate);
    jest.advanceTimersByTime(499);
    expect(first.cancelled).toBe(0);
    jest.advanceTimersByTime(1);
    expect((await end).kind).toBe('done');
    expect(points.map(point => point.cause)).toEqual(['stalled']);
    expect(first.cancelled).toBe(1);
    expect(caller.text).toBe(WHOLE);
  });

  it('should pause the source for a slow caller and not count it as stalled', async () => {
    // The caller stops reading. The relay must pause the source, or it would
    // buffer the rest in memory, and it must stop the stall timer, or another
    // target would generate the same tokens again.
    jest.useFakeTimers({doNotFake: ['nextTick', 'setImmediate']});
    const body = new PassThrough();
    body.write(tokens(0, 2));
    const first = {body, peer: 'planner-1', cancel: () => body.destroy()};
    const {relay, caller, points, end} = setUp(first);
    caller.slow = true;
    while (caller.held.length === 0) await new Promise(setImmediate);
    body.end(tokens(2, 4) + END);
    for (let i = 0; i < 5; i++) await new Promise(setImmediate);
    jest.advanceTimersByTime(relay.tokenTimeoutMs * 2);
    expect(body.isPaused()).toBe(true);
    expect(caller.text).toBe(tokens(0, 2));
    caller.slow = false;
    caller.read();
    expect((await end).kind).toBe('done');
    expect(caller.text).toBe(WHOLE);
    expect(points).toEqual([]);
  });

  it('should disconnect a caller that stops reading', async () => {
    jest.useFakeTimers({doNotFake: ['nextTick', 'setImmediate']});
    const first = new FakeSource(tokens(0, 2), 'silence');
    const {relay, caller, end} = setUp(first);
    caller.slow = true;
    while (caller.held.length === 0) await new Promise(setImmediate);
    jest.advanceTimersByTime(relay.callerTimeoutMs);
    expect((await end).kind).toBe('caller gone');
    expect(first.cancelled).toBe(1);
  });

  it('should cancel the work when the caller disconnects, also while reopening', async () => {
    const first = new FakeSource(tokens(0, 2), 'silence');
    const gone = setUp(first);
    gone.caller.destroy();
    expect((await gone.end).kind).toBe('caller gone');
    expect(first.cancelled).toBe(1);

    const other = new FakeSource(tokens(2, 4) + END);
    const late = setUp(new FakeSource(tokens(0, 2)), [], {
      reopen: async () => {
        late.caller.destroy();
        return other;
      },
    });
    expect(await late.end).toEqual({kind: 'caller gone', delivered: 2});
    expect(other.cancelled).toBe(1);
  });

  it('should cut at the deadline and stop the target', async () => {
    const abort = new AbortController();
    const first = new FakeSource(tokens(0, 2), 'silence');
    const {caller, end} = setUp(first, [], {signal: abort.signal});
    while (!caller.text.includes('t1')) await new Promise(setImmediate);
    abort.abort();
    expect(await end).toMatchObject({kind: 'cut', delivered: 2});
    expect(caller.text).toContain('deadline passed');
    expect(first.cancelled).toBe(1);
  });

  it.each([
    ['the same version', 'v1', 'done'],
    ['another version', 'v2', 'cut'],
  ])(
    "should resume a caller's own stream on %s",
    async (_name, version, kind) => {
      const first = new FakeSource(tokens(2, 4, version) + END, 'end', 'v1');
      const limits = {
        fromToken: 2,
        modelVersion: 'v1',
        maxLosses: 3,
        maxEventChars: 1000,
      };
      const {end, caller} = setUp(first, [], {limits});
      expect((await end).kind).toBe(kind);
      expect(caller.text.includes('t2')).toBe(kind === 'done');
    }
  );

  it('should not buffer an event beyond the maximum size', async () => {
    const endless = new FakeSource(`data: ${'x'.repeat(2000)}`, 'silence');
    const {end, points} = setUp(endless, [new FakeSource(WHOLE)]);
    expect((await end).kind).toBe('done');
    expect(points[0]?.cause).toBe('event too large');
  });

  it('should hold over seeded schedules, those that once failed included', () => {
    for (const seed of [6, 9, 27]) STREAM_MODEL.run(seed);
    for (let seed = 1000; seed < 1300; seed++) STREAM_MODEL.run(seed);
  });
});
