import {readFileSync} from 'node:fs';
import {
  CallerAnswer,
  assign,
  chat,
  isExactStream,
  newKey,
} from '../../bench/deployment/callers';
import {readRecord} from '../../fakes/runRecord';
import type {CutDirection} from '../../bench/deployment/cutRelay';
import {openStream} from '../fixtures/openStream';
import {TestSystem, eventually} from '../fixtures/system';

const LONG = 400;

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start({linked: true});
}, 60_000);
afterAll(() => system.stop());

const MIN_STREAMS = 8;
const MAX_STREAMS = 32;

/**
 * Streams of one entry, of which one at least is at each engine. Several are
 * opened until it is so: no even spread of a few streams is promised.
 */
async function streamsEverywhere(entry: number) {
  const streams: Awaited<ReturnType<typeof openStream>>[] = [];
  const targets = () => new Set(streams.map(stream => stream.targetId));
  const isShort = () => streams.length < MIN_STREAMS || targets().size < 4;
  while (isShort() && streams.length < MAX_STREAMS) {
    const more = Array.from({length: MIN_STREAMS}, (_, i) =>
      openStream(system.port(entry), `stream ${streams.length + i}`, LONG)
    );
    streams.push(...(await Promise.all(more)));
  }
  expect(targets().size).toBe(4);
  return streams;
}

function cutFrom(name: string, servers: string, direction: CutDirection) {
  const isMeant = (from: string, to: string) =>
    from === name && to.startsWith(servers);
  system.deployment.links.cut(isMeant, direction);
}

async function back(...names: readonly string[]): Promise<void> {
  await Promise.all(names.map(name => system.deployment.restart(name)));
  await system.submit();
  await system.inForce();
  await eventually('all targets serve', async () => {
    const {targets} = await system.status();
    return (
      targets.length === system.deployment.targets.length &&
      targets.every(one => one.state === 'serving' && one.limit > 0)
    );
  });
}

describe('a cut between an entry and an agent', () => {
  // The link goes silent with streams in work: no byte and no error comes. The
  // callers see a pause; the entry takes the stall for a loss and another
  // target goes on at the very next token. Where only the way to the agent is
  // silent, tokens go on coming and nobody notices.
  it('should give every token once with links silent both ways and one way', async () => {
    const streams = await Promise.all([0, 1].map(streamsEverywhere));
    cutFrom('entry-0', 'agent-planner-1', 'both');
    cutFrom('entry-0', 'agent-planner-2', 'to server');
    cutFrom('entry-1', 'agent-planner-3', 'to client');
    const ends = await Promise.all(streams.flat().map(stream => stream.end()));
    const inexact = ends.filter(({text}) => !isExactStream(text, LONG));
    expect(inexact).toEqual([]);
    system.deployment.links.heal();
  }, 45_000);

  // An assignment runs and its answer is lost on the silent way back. Nobody
  // may run it again; a resend through the other entry, which still reaches
  // the agent, gets the recorded answer.
  it('should run an assignment once when its answer is lost in the cut', async () => {
    const key = newKey();
    const slow = {kind: 'answerLate', path: '/assign', ms: 500, times: 1};
    await system.breakLedgers(slow);
    const first = assign(system.port(0), key, 3);
    await eventually('the run', async () => await system.ledgerRuns(key));
    cutFrom('entry-0', 'agent-allocation', 'to client');
    const again = await eventually('the recorded answer', async () => {
      const resent = await assign(system.port(1), key, 3);
      return resent.status === 201 && resent;
    });
    expect(JSON.parse(again.body)).toMatchObject({key});
    system.deployment.links.heal();
    expect((await first).outcome).not.toBe('not run');
    expect(await system.ledgerRuns(key)).toBe(1);
  }, 45_000);
});

describe('a second fault during a graceful shutdown', () => {
  // The entry is frozen, told to end, and wakes later. It hears of the end
  // only then, with a stream in hand, which must still come whole.
  it('should cut off no stream when the entry is frozen meanwhile', async () => {
    const stream = await openStream(system.port(0), 'frozen', LONG);
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
    expect(isExactStream((await stream.end()).text, LONG)).toBe(true);
    expect(await ended).toBe(0);
    await back('entry-0');
  }, 45_000);

  // Entries lose control while they end. Requests in hand need no control,
  // and a farewell that nobody hears must not keep a process for ever.
  it('should cut off no stream when entries lose control both ways and one way', async () => {
    const streams = await Promise.all(
      [0, 1].map(entry => openStream(system.port(entry), 'cut off', LONG))
    );
    cutFrom('entry-0', 'control-', 'both');
    cutFrom('entry-1', 'control-', 'to client');
    const ended = ['entry-0', 'entry-1'].map(entry =>
      system.deployment.child(entry).end('SIGTERM')
    );
    for (const stream of streams)
      expect(isExactStream((await stream.end()).text, LONG)).toBe(true);
    expect(await Promise.all(ended)).toEqual([0, 0]);
    system.deployment.links.heal();
    await back('entry-0', 'entry-1');
  }, 45_000);
});

/** Calls of both kinds through the given entries, until told to stop. */
function load(entries: readonly number[]) {
  let running = true;
  const answers: CallerAnswer[] = [];
  const clients = [0, 1, 2, 3].map(async client => {
    const port = system.port(entries[client % entries.length]!);
    for (let i = client; running; i += 4)
      answers.push(
        client < 2
          ? await chat(port, `load ${i}`, 4, false)
          : await assign(port, newKey(), i)
      );
  });
  const stop = async () => {
    running = false;
    await Promise.all(clients);
    return answers;
  };
  return {answers, stop};
}

function drainings(name: string): number {
  const log = readFileSync(system.deployment.logFile(name), 'utf8');
  return log.split('"msg":"draining"').length - 1;
}

/** Resolves when the process has heard the signal, with its exit to come. */
async function toldToEnd(name: string) {
  const before = drainings(name);
  const ended = system.deployment.child(name).end('SIGTERM');
  await eventually('the signal', async () => drainings(name) > before);
  return {ended};
}

/** What the target itself wrote down. */
function runsOf(targetId: string): number {
  const file = system.deployment.recordFile(`fake-${targetId}`);
  return readRecord(file).length;
}

/** The gate is shut by now; what had passed it before is run to its end. */
async function runsOnceIdle(targetId: string): Promise<number> {
  const target = system.deployment.targets.find(
    one => one.targetId === targetId
  );
  let last = -1;
  return eventually('the target is idle', async () => {
    const {concurrent} = await system.fake(target!.fakePort, 'state');
    const runs = runsOf(targetId);
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
  // An agent is told to leave, and with it something fails by which entries
  // would have heard of it. Entries that know nothing still send; the gate
  // refuses, they go elsewhere, and the target's own record shows no new work.
  it.each(SECOND_FAULTS)(
    'should give it no new work when $name',
    async ({entries, begin}) => {
      const {answers, stop} = load(entries);
      await eventually('load', async () => answers.length > 20);
      const killed = await begin();
      const {ended} = await toldToEnd('agent-planner-0');
      const runs = await runsOnceIdle('planner-0');
      const count = answers.length;
      await eventually('more load', async () => answers.length > count + 20);
      expect(await ended).toBe(0);
      const failed = (await stop()).filter(one => one.status >= 400);
      expect(failed.map(one => [one.reason, one.body])).toEqual([]);
      expect(runsOf('planner-0')).toBe(runs);
      system.deployment.links.heal();
      await back('agent-planner-0', ...killed);
    },
    45_000
  );
});
