import http from 'node:http';
import {FakeEngine} from '../fakes/engine';
import type {EngineConfig} from '../fakes/engine/engineConfig';
import {
  relayStream,
  StreamEnd,
  StreamSource,
} from '../src/entry/chat/streamResumer';
import type {TargetAdapter} from '../src/target/targetAdapter';
import {
  createAdapter,
  CHAT_PATH,
  chatBody,
  runCleanups,
  onCleanup,
  startScriptedServer,
  sendPost,
  startFake,
} from './fixtures/targets';

const TOKENS = 40;

/** Opens a stream at an engine, resumed from a token. */
function openStream(
  engine: FakeEngine,
  adapter: TargetAdapter,
  resumeFrom: number
): Promise<StreamSource> {
  const headers = adapter.requestHeaders({
    requestId: 'r1',
    entryId: 'e1',
    customer: 'harbour',
    pool: 'planner',
    revision: 1,
    remainingMs: 10_000,
    attempt: 1,
    cost: 1,
    idempotent: true,
    agentBootId: 'b1',
    priority: 0,
    resumeFrom,
  });
  const options = {host: '127.0.0.1', port: engine.port, path: CHAT_PATH};
  return new Promise((resolve, reject) => {
    const req = http.request({...options, method: 'POST', headers});
    req.once('error', reject);
    req.once('response', body =>
      resolve({
        body,
        peer: adapter.peer,
        modelVersion: engine.current.modelVersion,
        cancel: () => req.destroy(),
      })
    );
    req.end(JSON.stringify(chatBody(TOKENS)));
  });
}

/** Starts a relay over real connections that uses the engines in turn. */
async function setUp(...configs: readonly Partial<EngineConfig>[]) {
  const engines = await Promise.all(
    configs.map(cfg => startFake(new FakeEngine({stepMs: 1, ...cfg})))
  );
  const adapters = engines.map(engine => createAdapter('engine', engine.port));
  const ends: StreamEnd[] = [];
  const {port} = await startScriptedServer((_req, res) => {
    let turn = 0;
    const open = (from: number) => {
      const at = turn++ % engines.length;
      return openStream(engines[at]!, adapters[at]!, from);
    };
    res.writeHead(200, {'content-type': 'text/event-stream'});
    void open(0)
      .then(source =>
        relayStream({
          source,
          caller: res,
          limits: {fromToken: 0, maxLosses: 3, maxEventChars: 10_000},
          firstTokenTimeoutMs: 10_000,
          tokenTimeoutMs: 10_000,
          callerTimeoutMs: 10_000,
          signal: new AbortController().signal,
          reopen: point => open(point.fromToken),
          errorEventData: refusal => JSON.stringify(refusal),
        })
      )
      .then(end => ends.push(end));
  });
  return {engines, port, ends};
}

const idsIn = (text: string) =>
  [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));

const ALL_IDS = Array.from({length: TOKENS}, (_, index) => index);

afterEach(runCleanups);

describe('streams over engines', () => {
  it.each([
    ['cutAtToken', 0],
    ['cutAtToken', TOKENS - 1],
    ['endAtToken', 17],
    ['repeatToken', 5],
  ] as const)(
    'should give every token once after %s at token %i',
    async (kind, token) => {
      const {engines, port} = await setUp({}, {});
      const [first, second] = engines as [FakeEngine, FakeEngine];
      first.control({kind, token, times: 1});
      const reply = await sendPost(port, '/', {});
      const direct = await sendPost(second.port, CHAT_PATH, chatBody(TOKENS));
      expect(idsIn(reply.text)).toEqual(ALL_IDS);
      const content = (text: string) => text.match(/"content":"[^"]*"/g);
      expect(content(reply.text)).toEqual(content(direct.text));
      expect(reply).toMatchObject({whole: true});
      expect(reply.text.endsWith('data: [DONE]\n\n')).toBe(true);
      const resumed =
        kind === 'repeatToken' || token === 0 ? {} : {'r1.1': [token]};
      expect(second.counters.resumedFrom).toEqual(resumed);
    }
  );

  it('should resume elsewhere when an engine crashes with its connections', async () => {
    const {engines, port} = await setUp({restartMs: 1e6}, {});
    const [first] = engines as [FakeEngine];
    const reply = sendPost(port, '/', {});
    while (first.counters.tokens < 10) await new Promise(setImmediate);
    first.control({kind: 'crash'});
    expect(idsIn((await reply).text)).toEqual(ALL_IDS);
  });

  it('should destroy the connection when only another version is left', async () => {
    // The caller gets the tokens so far, an error event, and a connection that
    // ends without the last chunk, so it cannot mistake the stream for
    // complete.
    const {engines, port, ends} = await setUp({}, {modelVersion: 'v2'});
    engines[0]!.control({kind: 'cutAtToken', token: 9, times: 1});
    const reply = await sendPost(port, '/', {});
    expect(idsIn(reply.text)).toEqual(ALL_IDS.slice(0, 9));
    expect(reply.whole).toBe(false);
    expect(reply.text).toContain('event: error\ndata: {"reason":"stream-cut"');
    expect(ends).toMatchObject([{kind: 'cut', delivered: 9}]);
  });

  it('should cancel the request at the engine when the caller disconnects', async () => {
    const {engines, port, ends} = await setUp({stepMs: 5});
    const [engine] = engines as [FakeEngine];
    const caller = http.get({host: '127.0.0.1', port, agent: false});
    caller.on('error', () => undefined);
    onCleanup(() => caller.destroy());
    while (engine.counters.tokens < 3) await new Promise(setImmediate);
    caller.destroy();
    while (engine.counters.disconnected < 1) await new Promise(setImmediate);
    expect(engine.current.batch.size).toBe(0);
    expect(ends).toMatchObject([{kind: 'caller gone'}]);
  });
});
