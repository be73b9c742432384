import {rmSync} from 'node:fs';
import {assign, chat, newIdempotencyKey} from '../../bench/deployment/callers';
import {rulesText} from '../../bench/deployment/rulesText';
import {TestSystem, eventually} from '../fixtures/testSystem';

const REVISIONS_MISSED = 200;

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start();
}, 60_000);
afterAll(() => system.stop());

function zoneOf(targetId: string): string | undefined {
  return system.deployment.targets.find(one => one.targetId === targetId)
    ?.availabilityZone;
}

describe('failures of control instances', () => {
  // The leader is killed. The other two instances elect a new leader and have
  // all accepted commands, so operators and callers see a short pause at most.
  // A client that regards control as down because its leader is would fail.
  it('should lose nothing when the leader is killed', async () => {
    const key = newIdempotencyKey();
    const before = await assign(system.port(0), key, 1);
    expect(before.status).toBe(201);
    const old = await system.leader();
    await system.deployment.child(old).end('SIGKILL');
    expect(await system.submit()).toMatchObject({kind: 'accepted'});
    const again = await assign(system.port(1), key, 1);
    expect([again.status, again.body]).toEqual([201, before.body]);
    expect((await assign(system.port(1), newIdempotencyKey(), 2)).status).toBe(
      201
    );
    expect(await system.ledgerRunCount(key)).toBe(1);
    await system.deployment.restart(old);
    await system.waitForRevision();
  }, 30_000);

  // A zone goes out of service while the leader is frozen. When it resumes, it
  // briefly assumes that it still leads and still has the old rules. An entry
  // that applied them would send work to the zone again.
  it('should not apply old rules of a leader that was frozen', async () => {
    const old = await system.leader();
    const frozen = system.deployment.child(old).process;
    frozen.kill('SIGSTOP');
    const answer = await system.submit({zonesOut: ['zone-b']});
    expect(answer).toMatchObject({kind: 'accepted'});
    await system.waitForRevision();
    frozen.kill('SIGCONT');
    const zones: (string | undefined)[] = [];
    await eventually('the resumed instance is up to date', async () => {
      for (const entry of [0, 1]) {
        const {status, target} = await chat(system.port(entry), 'x', 1, false);
        if (status === 200) zones.push(zoneOf(target));
      }
      const {instances, processes} = await system.status();
      expect(processes.every(one => one.heldRevision >= system.revision)).toBe(
        true
      );
      const resumed = instances.find(one => one.instanceId === old);
      return resumed?.role === 'follower';
    });
    expect(new Set(zones)).toEqual(new Set(['zone-a']));
  }, 30_000);

  // An instance loses its disk and restarts empty. Soon after, one of the two
  // complete instances dies. All accepted commands must still be there without
  // any repair by an operator.
  it('should rejoin after a lost disk and survive a second failure', async () => {
    const key = newIdempotencyKey();
    const first = await assign(system.port(0), key, 3);
    const leader = await system.leader();
    const names = ['control-0', 'control-1', 'control-2'];
    const wiped = names.find(name => name !== leader)!;
    await system.deployment.child(wiped).end('SIGKILL');
    rmSync(system.deployment.dataFolder(wiped), {recursive: true});
    await system.deployment.restart(wiped);
    await eventually('the wiped instance votes again', async () => {
      const {instances} = await system.status();
      return instances.find(one => one.instanceId === wiped)?.voter;
    });
    await system.deployment.child(leader).end('SIGKILL');
    expect(await system.submit()).toMatchObject({kind: 'accepted'});
    const again = await assign(system.port(1), key, 3);
    expect([again.status, again.body]).toEqual([201, first.body]);
    expect(await system.ledgerRunCount(key)).toBe(1);
    await system.deployment.restart(leader);
    await system.waitForRevision();
  }, 45_000);

  // Hundreds of rule files are accepted while one instance and one entry are
  // down. Both restart with their old state and must reach the newest revision
  // without applying an older one in between.
  it('should catch up after hundreds of revisions', async () => {
    const leader = await system.leader();
    const behind = leader === 'control-0' ? 'control-1' : 'control-0';
    await system.deployment.child(behind).end('SIGKILL');
    await system.deployment.child('entry-1').end('SIGKILL');
    for (let i = 0; i < REVISIONS_MISSED; i++) await system.submit();
    await system.submit({zonesOut: ['zone-b']});
    await system.deployment.restart(behind);
    await system.deployment.restart('entry-1');
    await system.waitForRevision();
    await system.waitForChat(1);
    const {target} = await chat(system.port(1), 'behind', 1, false);
    expect(zoneOf(target)).toBe('zone-a');
    await eventually('the instance has caught up', async () => {
      const {instances} = await system.status();
      const most = Math.max(...instances.map(one => one.commitIndex));
      const restarted = instances.find(one => one.instanceId === behind);
      return restarted?.commitIndex === most;
    });
  }, 60_000);

  // All control processes die and their hosts refuse connections. No new rules
  // can be accepted, so the current ones stay valid and callers are still
  // served.
  it('should keep serving by the current rules when all of control is killed', async () => {
    const names = ['control-0', 'control-1', 'control-2'];
    await Promise.all(
      names.map(name => system.deployment.child(name).end('SIGKILL'))
    );
    await eventually('both entries report that control is down', async () => {
      const kinds = await Promise.all([0, 1].map(readinessOf));
      return kinds.every(kind => kind === 'control down');
    });
    for (const entry of [0, 1]) {
      expect((await chat(system.port(entry), 'down', 1, false)).status).toBe(
        200
      );
    }
    const claimed = await assign(system.port(1), newIdempotencyKey(), 6);
    expect([claimed.reason, claimed.outcome]).toEqual([
      'control-unavailable',
      'not run',
    ]);
    await Promise.all(names.map(name => system.deployment.restart(name)));
    expect(await system.submit()).toMatchObject({kind: 'accepted'});
    await system.waitForRevision();
  }, 60_000);

  // An entry and the agents of a zone are frozen with calls in their sockets,
  // and the zone goes out of service meanwhile. When they resume, they first
  // read those calls while their rules still have the zone in service.
  it('should start nothing in a zone that went out while they were frozen', async () => {
    await system.submit();
    await system.waitForRevision();
    await eventually('zone-b serves', async () => {
      const {status, target} = await chat(system.port(0), 'b', 1, false);
      return status === 200 && zoneOf(target) === 'zone-b';
    });
    const inZone = system.deployment.targets.filter(
      one => one.pool === 'planner' && one.availabilityZone === 'zone-b'
    );
    const names = ['entry-0', ...inZone.map(one => `agent-${one.targetId}`)];
    const frozen = names.map(name => system.deployment.child(name).process);
    for (const process of frozen) process.kill('SIGSTOP');
    const calls = Array.from({length: 8}, (_, i) =>
      chat(system.port(i % 2), `frozen ${i}`, 2, false)
    );
    await system.submit({zonesOut: ['zone-b']});
    await eventually('control has removed them', async () => {
      const {processes} = await system.status();
      return !processes.some(one => names.includes(one.processId));
    });
    const before = await countRuns(inZone.map(one => one.fakePort));
    for (const process of frozen) process.kill('SIGCONT');
    for (const {status, target, outcome} of await Promise.all(calls)) {
      if (status === 200) expect(zoneOf(target)).toBe('zone-a');
      else expect(outcome).toBe('not run');
    }
    expect(await countRuns(inZone.map(one => one.fakePort))).toBe(before);
    await system.waitForRevision();
  }, 45_000);
});

describe('concurrent submissions of operators', () => {
  // Two operators submit different files under one revision at once. One is
  // accepted, the other is told the winner, and both get the same result when
  // they repeat the submission.
  it('should accept exactly one of two files with the same revision', async () => {
    const revision = ++system.revision;
    const texts = ['Aoife', 'Brendan'].map(askedBy =>
      rulesText({revision, askedBy})
    );
    const answers = await Promise.all(
      texts.map(text => system.control.submit(text))
    );
    const kinds = answers.map(answer => answer.kind).sort();
    expect(kinds).toEqual(['accepted', 'conflict']);
    const won = answers.findIndex(answer => answer.kind === 'accepted');
    const winner = ['Aoife', 'Brendan'][won];
    expect(answers[1 - won]).toMatchObject({winner});
    expect(await system.control.submit(texts[won]!)).toMatchObject({
      kind: 'accepted',
      resent: true,
    });
    expect(await system.control.submit(texts[1 - won]!)).toMatchObject({
      kind: 'conflict',
      winner,
    });
  });

  // A is accepted, then B. The operator of A lost the reply and submits A
  // again. If that counted as a change, B would silently be reverted.
  it('should not restore A when it is submitted again after B', async () => {
    const textA = rulesText({revision: ++system.revision, askedBy: 'Aoife'});
    await system.control.submit(textA);
    const textB = rulesText({
      revision: ++system.revision,
      zonesOut: ['zone-b'],
    });
    await system.control.submit(textB);
    expect(await system.control.submit(textA)).toEqual({
      kind: 'superseded',
      revision: system.revision - 1,
      current: system.revision,
    });
    expect((await system.status()).rulesText).toBe(textB);
  });

  // A zone goes out, in and out again faster than processes poll, so each may
  // receive any of the three revisions first. All must end with the last one,
  // and none may go back.
  it('should end with the last of three quick changes of a zone', async () => {
    await system.submit({zonesOut: ['zone-b']});
    await system.submit();
    await system.submit({zonesOut: ['zone-b']});
    await system.waitForRevision();
    const answers = await Promise.all(
      Array.from({length: 12}, (_, i) =>
        chat(system.port(i % 2), `last ${i}`, 2, false)
      )
    );
    expect(answers.map(answer => answer.status)).toEqual(
      answers.map(() => 200)
    );
    const zones = new Set(answers.map(answer => zoneOf(answer.target)));
    expect(zones).toEqual(new Set(['zone-a']));
  });
});

async function readinessOf(entry: number): Promise<string> {
  const url = `http://127.0.0.1:${system.port(entry)}/marlpulley/ready`;
  const res = await fetch(url);
  return ((await res.json()) as {readonly freshness: string}).freshness;
}

/** Total number of requests that these engines have run. */
async function countRuns(ports: readonly number[]): Promise<number> {
  const states = await Promise.all(
    ports.map(port => system.callFake(port, 'state'))
  );
  return states
    .flatMap(state => Object.values(state['runsByRequest'] as object))
    .reduce((sum: number, runs: number) => sum + runs, 0);
}
