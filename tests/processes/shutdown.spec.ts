import http from 'node:http';
import {
  CallerAnswer,
  assign,
  chat,
  isExactStream,
  newIdempotencyKey,
} from '../../bench/deployment/callers';
import {openStream} from '../fixtures/openStream';
import {TestSystem, eventually} from '../fixtures/testSystem';

const STREAM_TOKENS = 400;
const LOAD_CLIENTS = 4;

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start();
}, 60_000);
afterAll(() => system.stop());

/**
 * Restarts an agent or a fake target. Waits until control lists the new boot as
 * serving, and until every entry has polled control since.
 */
async function restartAndWait(name: string): Promise<void> {
  const targetId = name.replace(/^(agent|fake)-/, '');
  const findTarget = async () => {
    const {targets} = await system.status();
    return targets.find(one => one.targetId === targetId);
  };
  // For some seconds control may still list the boot from before the restart.
  const before = name.startsWith('agent-') ? await findTarget() : undefined;
  await system.deployment.restart(name);
  await eventually(`${name} serves`, async () => {
    const known = await findTarget();
    if (known?.agentBootId === before?.agentBootId && before !== undefined)
      return false;
    return known?.state === 'serving' && known.limit > 0;
  });
  await system.submit();
  await system.waitForRevision();
}

/** Sends calls from several clients, each one after another, until stopped. */
function startLoad(send: (i: number) => Promise<CallerAnswer>) {
  let stopped = false;
  const answers: CallerAnswer[] = [];
  const clients = Array.from({length: LOAD_CLIENTS}, async (_, client) => {
    for (let i = client; !stopped; i += LOAD_CLIENTS)
      answers.push(await send(i));
  });
  const stop = async () => {
    stopped = true;
    await Promise.all(clients);
    return answers;
  };
  return {answers, stop};
}

function failedAnswers(answers: readonly CallerAnswer[]): readonly string[] {
  return answers
    .filter(one => one.status >= 400)
    .map(one => `${one.status} ${one.reason}: ${one.body}`);
}

/**
 * Kills the target of a running stream, or its agent, and expects the whole
 * stream.
 */
async function expectExactStreamAfterKill(
  role: 'fake' | 'agent',
  entry: number
): Promise<void> {
  const stream = await openStream(
    system.port(entry),
    `lost ${role}`,
    STREAM_TOKENS
  );
  await stream.tokens(20);
  const name = `${role}-${stream.targetId}`;
  await system.deployment.child(name).end('SIGKILL');
  const {text, broken} = await stream.end();
  expect(/event: error[^]*/.exec(text)?.[0]).toBeUndefined();
  expect(broken).toBe(false);
  expect(isExactStream(text, STREAM_TOKENS)).toBe(true);
  await restartAndWait(name);
}

describe('targets that are lost', () => {
  // The engine is killed during a stream. The caller sees a pause; another engine
  // resumes at the next token, so none is repeated or left out.
  it('should give every token once when the target is killed', async () => {
    await expectExactStreamAfterKill('fake', 0);
  }, 30_000);

  // The same when its agent is killed: the entry loses the connection and cannot
  // know whether the target is still alive.
  it('should give every token once when the agent is killed', async () => {
    await expectExactStreamAfterKill('agent', 1);
  }, 30_000);

  // No other engine is left to resume the stream. A stream that just ended would
  // look complete to a caller that does not count tokens, so it must end with an
  // error event.
  it('should end with an explicit error when the only target is killed', async () => {
    const engines = system.deployment.targets
      .filter(one => one.pool === 'planner')
      .map(one => `fake-${one.targetId}`);
    const stream = await openStream(system.port(0), 'alone', STREAM_TOKENS);
    await stream.tokens(5);
    await Promise.all(
      engines.map(name => system.deployment.child(name).end('SIGKILL'))
    );
    const {text, broken} = await stream.end();
    expect(broken).toBe(true);
    expect(text).toContain('event: error');
    expect(text).toContain('stream-cut');
    expect(text).not.toContain('[DONE]');
    for (const name of engines) await restartAndWait(name);
  }, 45_000);
});

describe('graceful shutdown', () => {
  // An agent receives SIGTERM while calls go to its target. An entry that does
  // not know yet that the target is leaving still dispatches to it; the agent
  // must refuse the dispatch, so that it is retried elsewhere, instead of closing
  // its port.
  it.each(['planner', 'allocation'])(
    'should fail no request when an agent of %s leaves under load',
    async pool => {
      const send = (i: number) =>
        pool === 'planner'
          ? chat(system.port(i % 2), `leave ${i}`, 4, false)
          : assign(system.port(i % 2), newIdempotencyKey(), i);
      const {answers, stop} = startLoad(send);
      await eventually('load', async () => answers.length > 20);
      const agent = system.deployment.child(`agent-${pool}-0`);
      expect(await agent.end('SIGTERM')).toBe(0);
      const count = answers.length;
      await eventually(
        'load after it',
        async () => answers.length > count + 20
      );
      const all = await stop();
      expect(failedAnswers(all)).toEqual([]);
      expect(
        all.slice(count + LOAD_CLIENTS).map(one => one.target)
      ).not.toContain(`${pool}-0`);
      await restartAndWait(`agent-${pool}-0`);
    },
    45_000
  );

  // Both entries receive SIGTERM at once, with streams longer than the lame duck
  // time and callers on keep-alive connections that keep sending until the entry
  // reports that it is not ready. No request may fail.
  it('should cut off no request when two entries end together', async () => {
    const streams = await Promise.all(
      [0, 1].map(i => openStream(system.port(i), `end ${i}`, STREAM_TOKENS))
    );
    const agent = new http.Agent({keepAlive: true, maxSockets: LOAD_CLIENTS});
    const statuses: number[] = [];
    const clients = [0, 1, 0, 1].map(async entry => {
      const port = system.port(entry);
      while (await isReady(port))
        statuses.push(await getStatusPage(agent, port));
    });
    await eventually('load', async () => statuses.length > 20);
    const ends = [0, 1].map(i =>
      system.deployment.child(`entry-${i}`).end('SIGTERM')
    );
    await Promise.all(clients);
    expect(new Set(statuses)).toEqual(new Set([200]));
    for (const stream of streams)
      expect(isExactStream((await stream.end()).text, STREAM_TOKENS)).toBe(
        true
      );
    expect(await Promise.all(ends)).toEqual([0, 0]);
    agent.destroy();
    for (const i of [0, 1]) {
      await system.deployment.restart(`entry-${i}`);
      await system.waitForChat(i);
    }
  }, 45_000);

  // As documented for operators, a second signal ends a process immediately. A
  // stream in progress then breaks off and does not look complete.
  it('should end at once on a second signal', async () => {
    const stream = await openStream(system.port(0), 'twice', STREAM_TOKENS);
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

function getStatusPage(agent: http.Agent, port: number): Promise<number> {
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
