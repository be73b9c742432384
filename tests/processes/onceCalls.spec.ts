import {assign, newIdempotencyKey} from '../../bench/deployment/callers';
import {TestSystem, eventually} from '../fixtures/testSystem';

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start();
}, 60_000);
afterAll(() => system.stop());

const LEDGER_FAULTS = [
  {kind: 'closeAfterRun', expectedRuns: 1, firstReason: 'outcome-unknown'},
  {kind: 'truncate', expectedRuns: 1, firstReason: 'outcome-unknown'},
  {kind: 'closeBeforeRead', expectedRuns: 0, firstReason: 'outcome-unknown'},
  {kind: 'answerLate', expectedRuns: 1, firstReason: ''},
  {kind: 'refuse', expectedRuns: 0, firstReason: ''},
  {kind: 'answerUnmarked', expectedRuns: 1, firstReason: ''},
  {kind: 'resetUnmarked', expectedRuns: 1, firstReason: 'outcome-unknown'},
] as const;

/** Starts an assignment that takes the ledger 1.5 s; resolves once it runs. */
async function startSlowAssignment(entry: number, key: string) {
  await system.setLedgerFault({
    kind: 'answerLate',
    path: '/assign',
    ms: 1500,
    times: 1,
  });
  const answer = assign(system.port(entry), key, 9).catch(() => undefined);
  const findRunning = async () => {
    for (const target of system.deployment.targets) {
      if (target.pool !== 'allocation') continue;
      const {runsByKey} = await system.callFake(target.fakePort, 'state');
      if ((runsByKey as Record<string, number>)[key]) return target.targetId;
    }
    return undefined;
  };
  return {answer, targetId: await eventually('the run has begun', findRunning)};
}

/**
 * Clears the fault, which was set at both ledgers and triggered at only one.
 */
async function clearFaults(): Promise<void> {
  const directCall = {method: 'POST', body: '{}'};
  for (const port of system.fakePorts('allocation'))
    await fetch(`http://127.0.0.1:${port}/assign`, directCall).catch(
      () => undefined
    );
  await eventually('both ledgers serve', async () => {
    const {targets} = await system.status();
    const ledgers = targets.filter(one => one.pool === 'allocation');
    return ledgers.length === 2 && ledgers.every(one => one.limit > 0);
  });
}

describe('calls that may run at most once', () => {
  // The ledger fails during an assignment, in each way that it can. The caller
  // sends it again through the other entry and once more through the first. It
  // may get the response or "outcome unknown", but a resend never causes a second
  // run, and a call that ran is never reported as "not run".
  it.each(LEDGER_FAULTS)(
    'should run no call twice when the ledger does $kind',
    async ({kind, expectedRuns, firstReason}) => {
      const key = newIdempotencyKey();
      await system.setLedgerFault({kind, path: '/assign', ms: 300, times: 1});
      const answers = [];
      for (const entry of [0, 1, 0])
        answers.push(await assign(system.port(entry), key, 8));
      expect(answers[0]!.reason).toBe(firstReason);
      expect(await system.ledgerRunCount(key)).toBe(expectedRuns);
      const claimedNotRun = answers.filter(one => one.outcome === 'not run');
      expect(claimedNotRun).toEqual([]);
      const bodies = answers.map(one => one.reason || one.body);
      expect(new Set(bodies).size).toBe(1);
      await clearFaults();
    },
    30_000
  );

  // The agent is killed while its target processes the call. No other process
  // knows the outcome, so every resend gets "outcome unknown", also after the
  // agent has restarted with a new boot id, and the ledger runs the call once.
  it('should say that the outcome is unknown when the agent is killed', async () => {
    const key = newIdempotencyKey();
    const {answer, targetId} = await startSlowAssignment(0, key);
    await system.deployment.child(`agent-${targetId}`).end('SIGKILL');
    expect((await answer)?.outcome).toBe('outcome unknown');
    await system.deployment.restart(`agent-${targetId}`);
    const again = await eventually('the resend is settled', async () => {
      const resent = await assign(system.port(1), key, 9);
      expect(resent.outcome).toBe('outcome unknown');
      return resent.reason === 'outcome-unknown' && resent;
    });
    expect(again.status).toBe(502);
    expect(await system.ledgerRunCount(key)).toBe(1);
    await clearFaults();
  }, 45_000);

  // The entry is killed after it has claimed the key, while the target processes
  // the call. The agent still receives the response, and a resend through the
  // other entry gets it.
  it('should give the answer to a resend when the entry is killed', async () => {
    const key = newIdempotencyKey();
    const {answer} = await startSlowAssignment(0, key);
    await system.deployment.child('entry-0').end('SIGKILL');
    expect(await answer).toBeUndefined();
    const again = await eventually('the recorded answer', async () => {
      const resent = await assign(system.port(1), key, 9);
      return resent.status === 201 && resent;
    });
    expect(JSON.parse(again.body)).toMatchObject({key});
    expect(await system.ledgerRunCount(key)).toBe(1);
    await system.deployment.restart('entry-0');
    await system.waitForChat(0);
    await clearFaults();
  }, 45_000);

  // Both entries receive the same key several times at once, as from a load
  // balancer in front of them that repeats requests.
  it('should run one of many sendings at once', async () => {
    const key = newIdempotencyKey();
    const answers = await Promise.all(
      Array.from({length: 8}, (_, i) => assign(system.port(i % 2), key, 4))
    );
    expect(new Set(answers.map(one => one.body)).size).toBe(1);
    expect(await system.ledgerRunCount(key)).toBe(1);
  });
});
