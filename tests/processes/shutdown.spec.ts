import http from 'node:http';
import {
  CallerAnswer,
  assign,
  chat,
  isExactStream,
  newKey,
} from '../../bench/deployment/callers';
import {openStream} from '../fixtures/openStream';
import {TestSystem, eventually} from '../fixtures/system';

const LONG = 400;
const CLIENTS = 4;

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start();
}, 60_000);
afterAll(() => system.stop());

/**
 * Starts it again and waits until control lists the new boot as serving, and
 * until every entry has asked control since.
 */
async function restarted(name: string): Promise<void> {
  const targetId = name.replace(/^(agent|fake)-/, '');
  const look = async () => {
    const {targets} = await system.status();
    return targets.find(one => one.targetId === targetId);
  };
  // What control lists may still be from before the end, for some seconds.
  const before = name.startsWith('agent-') ? await look() : undefined;
  await system.deployment.restart(name);
  await eventually(`${name} serves`, async () => {
    const known = await look();
    if (known?.agentBootId === before?.agentBootId && before !== undefined)
      return false;
    return known?.state === 'serving' && known.limit > 0;
  });
  await system.submit();
  await system.inForce();
}

/** Sends one call after another until told to stop. */
function load(send: (i: number) => Promise<CallerAnswer>) {
  let stopped = false;
  const answers: CallerAnswer[] = [];
  const clients = Array.from({length: CLIENTS}, async (_, client) => {
    for (let i = client; !stopped; i += CLIENTS) answers.push(await send(i));
  });
  const stop = async () => {
    stopped = true;
    await Promise.all(clients);
    return answers;
  };
  return {answers, stop};
}

function failures(answers: readonly CallerAnswer[]): readonly string[] {
  return answers
    .filter(one => one.status >= 400)
    .map(one => `${one.status} ${one.reason}: ${one.body}`);
}

/** Kills the process beside which, or at which, a stream is in work. */
async function expectWholeWithoutIts(
  role: 'fake' | 'agent',
  entry: number
): Promise<void> {
  const stream = await openStream(system.port(entry), `lost ${role}`, LONG);
  await stream.tokens(20);
  const name = `${role}-${stream.targetId}`;
  await system.deployment.child(name).end('SIGKILL');
  const {text, broken} = await stream.end();
  expect(broken).toBe(false);
  expect(isExactStream(text, LONG)).toBe(true);
  await restarted(name);
}

describe('targets that are lost', () => {
  // The engine dies in the middle of a stream. The caller sees a pause; the
  // other engine goes on at the very next token, none twice and none left out.
  it('should give every token once when the target is killed', async () => {
    await expectWholeWithoutIts('fake', 0);
  }, 30_000);

  // The same when its agent dies: the entry loses the connection and cannot
  // know whether the target lives.
  it('should give every token once when the agent is killed', async () => {
    await expectWholeWithoutIts('agent', 1);
  }, 30_000);

  // No other engine is left to go on. A stream that just ended would look
  // whole to a caller that counts no tokens; it must say that it was cut.
  it('should end with an explicit error when the only target is killed', async () => {
    const engines = system.deployment.targets
      .filter(one => one.pool === 'planner')
      .map(one => `fake-${one.targetId}`);
    const stream = await openStream(system.port(0), 'alone', LONG);
    await stream.tokens(5);
    await Promise.all(
      engines.map(name => system.deployment.child(name).end('SIGKILL'))
    );
    const {text, broken} = await stream.end();
    expect(broken).toBe(true);
    expect(text).toContain('event: error');
    expect(text).toContain('stream-cut');
    expect(text).not.toContain('[DONE]');
    for (const name of engines) await restarted(name);
  }, 45_000);
});

describe('graceful shutdown', () => {
  // An agent is told to leave while calls of all kinds go to its target. Some
  // entry may not have heard of it yet; that dispatch must be refused by the
  // agent and go elsewhere, not meet a closed port.
  it.each(['planner', 'allocation'])(
    'should fail no request when an agent of %s leaves under load',
    async pool => {
      const send = (i: number) =>
        pool === 'planner'
          ? chat(system.port(i % 2), `leave ${i}`, 4, false)
          : assign(system.port(i % 2), newKey(), i);
      const {answers, stop} = load(send);
      await eventually('load', async () => answers.length > 20);
      const agent = system.deployment.child(`agent-${pool}-0`);
      expect(await agent.end('SIGTERM')).toBe(0);
      const count = answers.length;
      await eventually(
        'load after it',
        async () => answers.length > count + 20
      );
      const all = await stop();
      expect(failures(all)).toEqual([]);
      expect(all.slice(count + CLIENTS).map(one => one.target)).not.toContain(
        `${pool}-0`
      );
      await restarted(`agent-${pool}-0`);
    },
    45_000
  );

  // Both entries are told to end at once, with streams longer than the lame
  // duck time and callers on keep-alive connections that go on sending until
  // the balancer sees that an entry is not ready. None of them may notice.
  it('should cut off no request when two entries end together', async () => {
    const streams = await Promise.all(
      [0, 1].map(i => openStream(system.port(i), `end ${i}`, LONG))
    );
    const agent = new http.Agent({keepAlive: true, maxSockets: CLIENTS});
    const seen: number[] = [];
    const clients = [0, 1, 0, 1].map(async entry => {
      const port = system.port(entry);
      while (await isReady(port)) seen.push(await plainGet(agent, port));
    });
    await eventually('load', async () => seen.length > 20);
    const ends = [0, 1].map(i =>
      system.deployment.child(`entry-${i}`).end('SIGTERM')
    );
    await Promise.all(clients);
    expect(new Set(seen)).toEqual(new Set([200]));
    for (const stream of streams)
      expect(isExactStream((await stream.end()).text, LONG)).toBe(true);
    expect(await Promise.all(ends)).toEqual([0, 0]);
    agent.destroy();
    for (const i of [0, 1]) {
      await system.deployment.restart(`entry-${i}`);
      await system.serving(i);
    }
  }, 45_000);

  // The operators' page says that a second signal ends a process at once. The
  // stream in hand then breaks off, and does not look whole.
  it('should end at once on a second signal', async () => {
    const stream = await openStream(system.port(0), 'twice', LONG);
    await stream.tokens(3);
    const {process} = system.deployment.child('entry-0');
    process.kill('SIGTERM');
    await eventually('not ready', async () => !(await isReady(system.port(0))));
    process.kill('SIGTERM');
    const {text, broken} = await stream.end();
    expect([broken, text.includes('[DONE]')]).toEqual([true, false]);
    await eventually('ended', async () => process.exitCode === 1);
  }, 30_000);
});

async function isReady(port: number): Promise<boolean> {
  const res = await fetch(`http://127.0.0.1:${port}/marlpulley/ready`);
  return res.status === 200;
}

function plainGet(agent: http.Agent, port: number): Promise<number> {
  const headers = {'x-customer': 'depot'};
  const options = {host: '127.0.0.1', port, path: '/status', headers, agent};
  return new Promise((resolve, reject) => {
    const req = http.get(options, res => {
      res.resume().once('end', () => resolve(res.statusCode ?? 0));
      res.once('error', reject);
    });
    req.once('error', reject);
  });
}
