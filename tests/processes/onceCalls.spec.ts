import {assign, newKey} from '../../bench/deployment/callers';
import {TestSystem, eventually} from '../fixtures/system';

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start();
}, 60_000);
afterAll(() => system.stop());

const FAULTS = [
  {kind: 'closeAfterRun', runs: 1, first: 'outcome-unknown'},
  {kind: 'truncate', runs: 1, first: 'outcome-unknown'},
  {kind: 'closeBeforeRead', runs: 0, first: 'outcome-unknown'},
  {kind: 'answerLate', runs: 1, first: ''},
  {kind: 'refuse', runs: 0, first: ''},
] as const;

/** Starts an assignment that the ledger works on for long. */
async function startSlow(entry: number, key: string) {
  await system.breakLedgers({
    kind: 'answerLate',
    path: '/assign',
    ms: 1500,
    times: 1,
  });
  const answer = assign(system.port(entry), key, 9).catch(() => undefined);
  const state = async () => {
    for (const target of system.deployment.targets) {
      if (target.pool !== 'allocation') continue;
      const {runsByKey} = await system.fake(target.fakePort, 'state');
      if ((runsByKey as Record<string, number>)[key]) return target.targetId;
    }
    return undefined;
  };
  return {answer, targetId: await eventually('the run has begun', state)};
}

/** A fault stands at both ledgers, and the call met only one of them. */
async function clearFaults(): Promise<void> {
  const direct = {method: 'POST', body: '{}'};
  for (const port of system.fakePorts('allocation'))
    await fetch(`http://127.0.0.1:${port}/assign`, direct).catch(
      () => undefined
    );
  await eventually('both ledgers serve', async () => {
    const {targets} = await system.status();
    const ledgers = targets.filter(one => one.pool === 'allocation');
    return ledgers.length === 2 && ledgers.every(one => one.limit > 0);
  });
}

describe('calls that may run at most once', () => {
  // The ledger fails in the middle of an assignment, in each way that it can.
  // The caller sends again through the other entry, twice. It may hear the
  // answer, or that nobody knows; it never causes a second run, and is never
  // told "not run" of something that ran.
  it.each(FAULTS)(
    'should run no call twice when the ledger does $kind',
    async ({kind, runs, first}) => {
      const key = newKey();
      await system.breakLedgers({kind, path: '/assign', ms: 300, times: 1});
      const answers = [];
      for (const entry of [0, 1, 0])
        answers.push(await assign(system.port(entry), key, 8));
      expect(answers[0]!.reason).toBe(first);
      expect(await system.ledgerRuns(key)).toBe(runs);
      const claimsNotRun = answers.filter(one => one.outcome === 'not run');
      expect(claimsNotRun).toEqual([]);
      const bodies = answers.map(one => one.reason || one.body);
      expect(new Set(bodies).size).toBe(1);
      await clearFaults();
    },
    30_000
  );

  // The agent dies while its target works. Nobody else can say what became of
  // the call, so every resend, also after the agent is back as a new boot,
  // gets "outcome unknown" and the ledger sees one run.
  it('should say that the outcome is unknown when the agent is killed', async () => {
    const key = newKey();
    const {answer, targetId} = await startSlow(0, key);
    await system.deployment.child(`agent-${targetId}`).end('SIGKILL');
    expect((await answer)?.outcome).toBe('outcome unknown');
    await system.deployment.restart(`agent-${targetId}`);
    const again = await eventually('the resend is settled', async () => {
      const resent = await assign(system.port(1), key, 9);
      expect(resent.outcome).toBe('outcome unknown');
      return resent.reason === 'outcome-unknown' && resent;
    });
    expect(again.status).toBe(502);
    expect(await system.ledgerRuns(key)).toBe(1);
    await clearFaults();
  }, 45_000);

  // The entry dies after the claim, with the call at the target. The agent
  // still hears the answer; a resend through the other entry gets it.
  it('should give the answer to a resend when the entry is killed', async () => {
    const key = newKey();
    const {answer} = await startSlow(0, key);
    await system.deployment.child('entry-0').end('SIGKILL');
    expect(await answer).toBeUndefined();
    const again = await eventually('the recorded answer', async () => {
      const resent = await assign(system.port(1), key, 9);
      return resent.status === 201 && resent;
    });
    expect(JSON.parse(again.body)).toMatchObject({key});
    expect(await system.ledgerRuns(key)).toBe(1);
    await system.deployment.restart('entry-0');
    await system.serving(0);
    await clearFaults();
  }, 45_000);

  // Two entries get the same key at the same moment, several times over, as a
  // balancer that repeats requests would send them.
  it('should run one of many sendings at once', async () => {
    const key = newKey();
    const answers = await Promise.all(
      Array.from({length: 8}, (_, i) => assign(system.port(i % 2), key, 4))
    );
    expect(new Set(answers.map(one => one.body)).size).toBe(1);
    expect(await system.ledgerRuns(key)).toBe(1);
  });
});
