import {FakeEngine} from '../fakes/engine';
import {StepClock} from '../fakes/engine/stepClock';
import {FakeLedger} from '../fakes/ledger';
import {FakeWeightStore} from '../fakes/weightStore';
import type {Dispatch} from '../src/core/wire';
import type {TargetOrder} from '../src/target/targetAdapter';
import {
  createAdapter,
  CHAT_PATH,
  chatBody,
  runCleanups,
  neverAborted,
  startScriptedServer,
  sendPost,
  startFake,
} from './fixtures/targets';

const dispatch: Dispatch = {
  requestId: 'r1',
  entryId: 'e1',
  customer: 'harbour',
  pool: 'planner',
  revision: 1,
  remainingMs: 900.7,
  attempt: 1,
  cost: 10,
  idempotent: true,
  agentBootId: 'b1',
  priority: 3,
};

const engineStatus = {
  bootId: 'b1',
  state: 'ready',
  nowMs: 100,
  load: {running: 1, waiting: 0, tokensInWork: 9, reportedAtMs: 90},
  model: 'm',
  modelVersion: 'v1',
  role: 'mixed',
  adapters: [],
  cacheEvents: [],
};

afterEach(runCleanups);

describe('engine adapter', () => {
  it('should observe boot, model, load and cache events with their gaps', async () => {
    const engine = await startFake(
      new FakeEngine({
        cacheEventLagMs: 0,
        reportLagMs: 0,
        loseEveryNthCacheEvent: 2,
      })
    );
    const adapter = createAdapter('engine', engine.port);
    const long = 'x'.repeat(5000);
    await sendPost(engine.port, CHAT_PATH, chatBody(1, long));
    const seen = await adapter.observe(neverAborted);
    expect(seen).toMatchObject({
      bootId: engine.current.bootId,
      state: 'ready',
      model: 'planner',
      modelVersion: 'v1',
      cold: false,
      load: {running: 0, waiting: 0, tokensInWork: 0},
    });
    // Of the events of five stored blocks, the second and the fourth are lost.
    expect(seen.cacheEvents.events.map(e => e.seq)).toEqual([1, 3, 5]);
    expect(seen.cacheEvents.missed).toBe(2);
    const again = await adapter.observe(neverAborted);
    expect(again.cacheEvents).toEqual({events: [], missed: 0});
  });

  it('should report a new boot after a crash, and restart its event sequence', async () => {
    const engine = await startFake(
      new FakeEngine({cacheEventLagMs: 0, restartMs: 0})
    );
    const adapter = createAdapter('engine', engine.port);
    await sendPost(engine.port, CHAT_PATH, chatBody(1));
    const before = await adapter.observe(neverAborted);
    engine.control({kind: 'crash'});
    while (engine.current.bootId === before.bootId)
      await new Promise(setImmediate);
    await sendPost(engine.port, CHAT_PATH, chatBody(1));
    const after = await adapter.observe(neverAborted);
    expect(after.bootId).not.toBe(before.bootId);
    expect(after.cold).toBe(true);
    expect(
      (await adapter.observe(neverAborted)).cacheEvents.events
    ).toHaveLength(1);
  });

  it('should not replace the load by that of an older response', async () => {
    // Of two concurrent probes, the older response arrives last. Using it would
    // report an outdated load and attract requests to a full target.
    const pendingReplies: (() => void)[] = [];
    const {port} = await startScriptedServer((_req, res) => {
      const nowMs = 100 + pendingReplies.length * 100;
      const load = {...engineStatus.load, running: nowMs, reportedAtMs: nowMs};
      const body = JSON.stringify({...engineStatus, nowMs, load});
      pendingReplies.push(() => res.end(body));
      if (pendingReplies.length === 2) pendingReplies[1]?.();
    });
    const adapter = createAdapter('engine', port);
    const both = [adapter.observe(neverAborted), adapter.observe(neverAborted)];
    const newer = await Promise.any(both);
    pendingReplies[0]?.();
    const loads = (await Promise.all(both)).map(seen => seen.load?.running);
    expect(newer.load?.running).toBe(200);
    expect(loads).toEqual([200, 200]);
  });

  it.each([
    ['no JSON', 200, 'hello', {kind: 'rejected', code: 200}],
    ['a missing field', 200, '{"bootId":"x"}', {kind: 'rejected', code: 200}],
    ['an error status', 500, '{}', {kind: 'rejected', code: 500}],
    ['a closed connection', 0, '', {kind: 'lost'}],
  ])('should reject %s', async (_name, status, text, fault) => {
    const {port} = await startScriptedServer((_req, res) => {
      if (status === 0) return void res.destroy();
      res.statusCode = status;
      res.end(text);
    });
    const adapter = createAdapter('engine', port);
    await expect(adapter.observe(neverAborted)).rejects.toMatchObject({
      step: 'target',
      peer: adapter.peer,
      fault,
    });
  });

  it('should distinguish an unreachable target from one that does not respond', async () => {
    const {server, port} = await startScriptedServer(() => undefined);
    const adapter = createAdapter('engine', port);
    const abort = new AbortController();
    const silent = adapter.observe(abort.signal);
    server.once('request', () => abort.abort());
    await expect(silent).rejects.toMatchObject({fault: {kind: 'timeout'}});
    await runCleanups();
    await expect(adapter.observe(neverAborted)).rejects.toMatchObject({
      fault: {kind: 'unreachable', refusedByHost: true},
    });
  });

  it('should retry a probe when an idle connection closes at the moment of reuse', async () => {
    // The target closes the idle connection just as the next probe is written.
    // Without a retry, it would count as unreachable and its ramp would
    // restart.
    let requests = 0;
    const {port} = await startScriptedServer((_req, res) => {
      requests++;
      if (requests === 2) res.destroy();
      else res.end(JSON.stringify(engineStatus));
    });
    const adapter = createAdapter('engine', port);
    await adapter.observe(neverAborted);
    await new Promise(setImmediate);
    expect((await adapter.observe(neverAborted)).bootId).toBe('b1');
    expect(requests).toBe(3);
  });

  const orders: readonly TargetOrder[] = [
    {kind: 'loadModel', fence: 5, model: 'm2', modelVersion: 'v7'},
    {kind: 'loadAdapter', fence: 5, adapter: 'a1'},
    {kind: 'setVersion', fence: 5, modelVersion: 'v8'},
    {kind: 'setRole', fence: 5, role: 'decode'},
    {
      kind: 'prepareMap',
      fence: 5,
      version: 1,
      switchStep: 9,
      slots: [[0]],
      shares: [[1]],
    },
    {kind: 'decideMap', fence: 5, version: 1, decision: 'abort'},
    {kind: 'loadExpert', fence: 5, expert: 3, slot: 0},
  ];
  it.each(orders.map(order => [order.kind, order] as const))(
    'should order %s, and be fenced by a newer token where engines check',
    async (_kind, order) => {
      const strict = await startFake(new FakeEngine());
      const lenient = await startFake(new FakeEngine({refuseOldFences: false}));
      const newer: TargetOrder = {kind: 'setRole', fence: 6, role: 'mixed'};
      for (const [engine, expected] of [
        [strict, {kind: 'fenced', highestFence: 6}],
        [lenient, {kind: 'done'}],
      ] as const) {
        const adapter = createAdapter('engine', engine.port);
        expect(await adapter.order(order, neverAborted)).toEqual({
          kind: 'done',
        });
        await adapter.order(newer, neverAborted);
        expect(await adapter.order(order, neverAborted)).toEqual(expected);
      }
    }
  );

  it('should report a load as failed when the weight store rejects it', async () => {
    const store = await startFake(
      new FakeWeightStore({burst: 1, requestsPerSecond: 0})
    );
    const weightStore = `http://127.0.0.1:${store.port}`;
    const engine = await startFake(new FakeEngine({weightStore}));
    const adapter = createAdapter('engine', engine.port);
    const order = (expert: number) =>
      adapter.order(
        {kind: 'loadExpert', fence: 1, expert, slot: 0},
        neverAborted
      );
    expect(await order(1)).toEqual({kind: 'done'});
    expect(await order(2)).toEqual({
      kind: 'failed',
      detail: 'weight store: status 429',
    });
  });

  it('should cancel one attempt but not the one that resumed its stream', async () => {
    // A stream is lost and resumed on the same engine. The late cancel of the
    // lost attempt must not stop the new one.
    const engine = await startFake(new FakeEngine());
    const adapter = createAdapter('engine', engine.port);
    const second = {...dispatch, attempt: 2};
    const run = (one: Dispatch, tokens: number) =>
      sendPost(engine.port, CHAT_PATH, chatBody(tokens), {
        ...adapter.requestHeaders(one),
      });
    const replies = [run(dispatch, 100000), run(second, 200)];
    while (engine.current.batch.size < 2) await adapter.observe(neverAborted);
    expect(await adapter.cancel(dispatch, neverAborted)).toEqual({
      kind: 'cancelled',
    });
    expect(await adapter.cancel(dispatch, neverAborted)).toEqual({
      kind: 'not running',
    });
    expect((await Promise.all(replies)).map(r => r.whole)).toEqual([
      false,
      true,
    ]);
    expect(engine.counters.cancelled).toBe(1);
  });

  it('should resume after the tokens that were delivered', async () => {
    const engine = await startFake(new FakeEngine({stepMs: 0}));
    const adapter = createAdapter('engine', engine.port);
    const whole = await sendPost(engine.port, CHAT_PATH, chatBody(6), {
      ...adapter.requestHeaders(dispatch),
    });
    const rest = await sendPost(engine.port, CHAT_PATH, chatBody(6), {
      ...adapter.requestHeaders({...dispatch, resumeFrom: 4}),
    });
    expect(adapter.requestHeaders(dispatch)).toEqual({
      'x-request-id': 'r1.1',
      'accept-encoding': 'identity',
      'x-priority': '3',
      'x-deadline-ms': '900',
    });
    expect(rest.text).toMatch(/^id: 4\n/);
    expect(whole.text.endsWith(rest.text)).toBe(true);
    expect(engine.counters.runsByRequest).toEqual({'r1.1': 2});
  });
});

describe('service adapter', () => {
  // The health report ends with its connection, before its end. Taken for a report
  // without details, it showed a loading service as ready.
  it('should not take the beginning of a health report for one', async () => {
    const {port} = await startScriptedServer(req =>
      req.socket.end(
        'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{"state":"loa'
      )
    );
    const adapter = createAdapter('service', port, '/health');
    await expect(adapter.observe(neverAborted)).rejects.toThrow('incomplete');
  });

  it('should observe a service by its health path, or by a TCP connect', async () => {
    const ledger = await startFake(new FakeLedger());
    const probed = await createAdapter(
      'service',
      ledger.port,
      '/health'
    ).observe(neverAborted);
    expect(probed).toMatchObject({state: 'ready', load: {running: 0}});
    expect(probed.bootId).toBeDefined();
    const connected = await createAdapter('service', ledger.port).observe(
      neverAborted
    );
    expect(connected.state).toBe('ready');
    expect(ledger.runs).toEqual([]);
  });

  it('should support no orders, and reject when unhealthy or unreachable', async () => {
    const {port} = await startScriptedServer((_req, res) => {
      res.statusCode = 503;
      res.end('{}');
    });
    const adapter = createAdapter('service', port, '/health');
    const bare = createAdapter('service', port);
    const order: TargetOrder = {kind: 'setRole', fence: 1, role: 'mixed'};
    expect(await adapter.order(order, neverAborted)).toEqual({
      kind: 'unsupported',
    });
    expect(await adapter.cancel(dispatch, neverAborted)).toEqual({
      kind: 'unsupported',
    });
    await expect(adapter.observe(neverAborted)).rejects.toMatchObject({
      fault: {kind: 'rejected', code: 503},
    });
    await runCleanups();
    await expect(bare.observe(neverAborted)).rejects.toMatchObject({
      fault: {kind: 'unreachable', refusedByHost: true},
    });
  });
});

describe('fake engine', () => {
  it('should crash when overloaded, while it reports to be warm', async () => {
    // The engine gets cold without a restart and still reports to be warm. It
    // can run two requests; the third makes it lose all three and restart.
    const coldEngine = {restartMs: 0, coldCapacity: 2, warmupMs: 1e9};
    const engine = await startFake(new FakeEngine(coldEngine));
    const boot = engine.current.bootId;
    engine.control({kind: 'turnCold', claimLagMs: 60_000});
    const adapter = createAdapter('engine', engine.port);
    expect((await adapter.observe(neverAborted)).cold).toBe(false);
    const replies = [1, 2, 3].map(() =>
      sendPost(engine.port, CHAT_PATH, chatBody(100000)).then(
        reply => reply.whole,
        () => false
      )
    );
    expect(await Promise.all(replies)).toEqual([false, false, false]);
    expect(engine.counters).toMatchObject({overloads: 1, worstColdRatio: 1.5});
    while (engine.current.bootId === boot) await new Promise(setImmediate);
    expect(engine.current.cold.claimsCold(Date.now())).toBe(true);
  });

  it('should hold all ranks at the switch step until the last one has the decision', async () => {
    const clock = new StepClock(0);
    const ranks = await Promise.all(
      [0, 1, 2].map(rank =>
        startFake(new FakeEngine({group: 'g1', rank}, clock))
      )
    );
    const adapters = ranks.map(engine => createAdapter('engine', engine.port));
    const stepOf = async () =>
      (await adapters[0]!.observe(neverAborted)).group?.step ?? 0;
    const switchStep = (await stepOf()) + 500;
    const prepare = {
      kind: 'prepareMap',
      fence: 1,
      version: 1,
      shares: [[1]],
    } as const;
    const decide = {kind: 'decideMap', fence: 1, version: 1} as const;
    for (const adapter of adapters)
      await adapter.order({...prepare, switchStep, slots: [[1]]}, neverAborted);
    for (const adapter of adapters.slice(1))
      await adapter.order({...decide, decision: 'commit'}, neverAborted);
    while ((await stepOf()) < switchStep - 1);
    const observations = await Promise.all(
      adapters.map(a => a.observe(neverAborted))
    );
    expect(observations.map(seen => seen.group?.step)).toEqual(
      [1, 2, 3].map(() => switchStep - 1)
    );
    expect(observations[0]?.group).toMatchObject({
      holding: true,
      preparedVersion: 1,
    });
    await adapters[0]!.order({...decide, decision: 'commit'}, neverAborted);
    while ((await stepOf()) < switchStep);
    expect(ranks.map(engine => engine.current.rank.history.at(-1))).toEqual(
      [1, 2, 3].map(() => ({fromStep: switchStep, mapVersion: 1}))
    );
  });
});
