import {readFileSync} from 'node:fs';
import {
  CallerAnswer,
  assign,
  chat,
  isExactStream,
  newIdempotencyKey,
} from '../../bench/deployment/callers';
import {readRecord} from '../../fakes/runRecord';
import type {CutDirection} from '../../bench/deployment/cutRelay';
import {openStream} from '../fixtures/openStream';
import {TestSystem, eventually} from '../fixtures/testSystem';

const STREAM_TOKENS = 400;

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start({usesRelays: true});
}, 60_000);
afterAll(() => system.stop());

const MIN_STREAMS = 8;
const MAX_STREAMS = 32;

/**
 * Opens streams through one entry until each engine has at least one. A few
 * streams need not spread evenly over the engines, so more are opened as needed.
 */
async function openStreamsAtAllEngines(entry: number) {
  const streams: Awaited<ReturnType<typeof openStream>>[] = [];
  const targets = () => new Set(streams.map(stream => stream.targetId));
  const needsMoreStreams = () =>
    streams.length < MIN_STREAMS || targets().size < 4;
  while (needsMoreStreams() && streams.length < MAX_STREAMS) {
    const more = Array.from({length: MIN_STREAMS}, (_, i) =>
      openStream(
        system.port(entry),
        `stream ${streams.length + i}`,
        STREAM_TOKENS
      )
    );
    streams.push(...(await Promise.all(more)));
  }
  expect(targets().size).toBe(4);
  return streams;
}

/** Cuts the links from one process to the servers with a name prefix. */
function cutFrom(name: string, serverPrefix: string, direction: CutDirection) {
  const isCut = (from: string, to: string) =>
    from === name && to.startsWith(serverPrefix);
  system.deployment.links.cut(isCut, direction);
}

/** Restarts processes; waits until every entry knows that all targets serve. */
async function restartAndWait(...names: readonly string[]): Promise<void> {
  await Promise.all(names.map(name => system.deployment.restart(name)));
  await system.submit();
  await system.waitForRevision();
  await system.waitForTargets();
}

describe('a cut between an entry and an agent', () => {
  // The links go silent during streams: neither bytes nor errors arrive. The
  // callers see a pause; the entry treats the stall as a lost target, and another
  // target resumes at the next token. Where only the direction to the agent is
  // silent, tokens keep arriving and the callers notice nothing.
  it('should give every token once with links silent both ways and one way', async () => {
    const streams = await Promise.all([0, 1].map(openStreamsAtAllEngines));
    cutFrom('entry-0', 'agent-planner-1', 'both');
    cutFrom('entry-0', 'agent-planner-2', 'to server');
    cutFrom('entry-1', 'agent-planner-3', 'to client');
    const ends = await Promise.all(streams.flat().map(stream => stream.end()));
    const inexact = ends.filter(
      ({text}) => !isExactStream(text, STREAM_TOKENS)
    );
    expect(inexact).toEqual([]);
    system.deployment.links.heal();
  }, 45_000);

  // An assignment runs, and its response is lost on the link back to the entry.
  // It must not run again; a resend through the other entry, which still reaches
  // the agent, gets the recorded response.
  it('should run an assignment once when its answer is lost in the cut', async () => {
    const key = newIdempotencyKey();
    const slow = {kind: 'answerLate', path: '/assign', ms: 500, times: 1};
    await system.setLedgerFault(slow);
    const first = assign(system.port(0), key, 3);
    await eventually('the run', async () => await system.ledgerRunCount(key));
    cutFrom('entry-0', 'agent-allocation', 'to client');
    const again = await eventually('the recorded answer', async () => {
      const resent = await assign(system.port(1), key, 3);
      return resent.status === 201 && resent;
    });
    expect(JSON.parse(again.body)).toMatchObject({key});
    system.deployment.links.heal();
    expect((await first).outcome).not.toBe('not run');
    expect(await system.ledgerRunCount(key)).toBe(1);
  }, 45_000);
});

describe('a second fault during a graceful shutdown', () => {
  // The entry is frozen, receives SIGTERM and is resumed later. It handles the
  // signal only then, with a stream in progress, which must still complete.
  it('should cut off no stream when the entry is frozen meanwhile', async () => {
    const stream = await openStream(system.port(0), 'frozen', STREAM_TOKENS);
    await stream.tokens(3);
    const {process} = system.deployment.child('entry-0');
    process.kill('SIGSTOP');
    const ended = system.deployment.child('entry-0').end('SIGTERM');
    process.kill('SIGSTOP');
    await eventually('control misses it', async () => {
      const {processes} = await system.status();
      const entry = processes.find(one => one.processId === 'entry-0');
      return entry === undefined || entry.pollAgeMs > 1_000;
    });
    process.kill('SIGCONT');
    expect(isExactStream((await stream.end()).text, STREAM_TOKENS)).toBe(true);
    expect(await ended).toBe(0);
    await restartAndWait('entry-0');
  }, 45_000);

  // Entries lose the connection to control while they drain. Requests in progress
  // do not need control, and a leave message without a reply must not keep a
  // process from exiting.
  it('should cut off no stream when entries lose control both ways and one way', async () => {
    const streams = await Promise.all(
      [0, 1].map(entry =>
        openStream(system.port(entry), 'cut off', STREAM_TOKENS)
      )
    );
    cutFrom('entry-0', 'control-', 'both');
    cutFrom('entry-1', 'control-', 'to client');
    const ended = ['entry-0', 'entry-1'].map(entry =>
      system.deployment.child(entry).end('SIGTERM')
    );
    for (const stream of streams)
      expect(isExactStream((await stream.end()).text, STREAM_TOKENS)).toBe(
        true
      );
    expect(await Promise.all(ended)).toEqual([0, 0]);
    system.deployment.links.heal();
    await restartAndWait('entry-0', 'entry-1');
  }, 45_000);
});

/** Sends chats and assignments through the given entries until stopped. */
function startLoad(entries: readonly number[]) {
  let running = true;
  const answers: CallerAnswer[] = [];
  const clients = [0, 1, 2, 3].map(async client => {
    const port = system.port(entries[client % entries.length]!);
    for (let i = client; running; i += 4)
      answers.push(
        client < 2
          ? await chat(port, `load ${i}`, 4, false)
          : await assign(port, newIdempotencyKey(), i)
      );
  });
  const stop = async () => {
    running = false;
    await Promise.all(clients);
    return answers;
  };
  return {answers, stop};
}

function drainCount(name: string): number {
  const log = readFileSync(system.deployment.logFile(name), 'utf8');
  return log.split('"msg":"draining"').length - 1;
}

/**
 * Sends SIGTERM; resolves with the pending exit once the process is draining.
 */
async function startDraining(name: string) {
  const before = drainCount(name);
  const ended = system.deployment.child(name).end('SIGTERM');
  await eventually('the signal', async () => drainCount(name) > before);
  return {ended};
}

/** Number of runs in the target's own record. */
function runCount(targetId: string): number {
  const file = system.deployment.recordFile(`fake-${targetId}`);
  return readRecord(file).length;
}

/**
 * Waits until the requests that passed the agent's gate before it closed have
 * completed; resolves with the number of runs.
 */
async function runCountOnceIdle(targetId: string): Promise<number> {
  const target = system.deployment.targets.find(
    one => one.targetId === targetId
  );
  let last = -1;
  return eventually('the target is idle', async () => {
    const {concurrent} = await system.callFake(target!.fakePort, 'state');
    const runs = runCount(targetId);
    const isIdle = concurrent === 0 && runs === last;
    last = runs;
    return isIdle ? runs : undefined;
  });
}

const SECOND_FAULTS = [
  {
    name: 'the leader of control is killed',
    entries: [0, 1],
    begin: async () => {
      const leader = await system.leader();
      await system.deployment.child(leader).end('SIGKILL');
      return [leader];
    },
  },
  {
    name: 'it is cut off from control',
    entries: [0, 1],
    begin: async () => {
      cutFrom('agent-planner-0', 'control-', 'both');
      return [];
    },
  },
  {
    name: 'another entry is killed',
    entries: [1],
    begin: async () => {
      await system.deployment.child('entry-0').end('SIGKILL');
      return ['entry-0'];
    },
  },
] as const;

describe('a second fault while a target is leaving', () => {
  let stopLoad: (() => Promise<unknown>) | undefined;

  // The load of a failed test must not run into the faults of the next one.
  afterEach(async () => {
    await stopLoad?.();
    stopLoad = undefined;
  });

  // An agent receives SIGTERM just after the failure of a process or link by
  // which entries would learn that it leaves. Entries that do not know still
  // dispatch to it; the agent's gate refuses, they retry elsewhere, and the
  // target's own record shows no new work.
  it.each(SECOND_FAULTS)(
    'should give it no new work when $name',
    async ({entries, begin}) => {
      const {answers, stop} = startLoad(entries);
      stopLoad = stop;
      await eventually('load', async () => answers.length > 20);
      const killed = await begin();
      const {ended} = await startDraining('agent-planner-0');
      const runs = await runCountOnceIdle('planner-0');
      const count = answers.length;
      await eventually('more load', async () => answers.length > count + 20);
      expect(await ended).toBe(0);
      const failed = (await stop()).filter(one => one.status >= 400);
      expect(failed.map(one => [one.reason, one.body])).toEqual([]);
      expect(runCount('planner-0')).toBe(runs);
      system.deployment.links.heal();
      await restartAndWait('agent-planner-0', ...killed);
    },
    45_000
  );
});
