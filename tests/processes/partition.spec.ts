import {assign, chat, newIdempotencyKey} from '../../bench/deployment/callers';
import {TestSystem, eventually} from '../fixtures/testSystem';

const ISOLATED_PROCESSES = ['control-0', 'entry-0', 'agent-planner-0'];
const OTHER_PROCESSES = ['entry-1', 'agent-planner-1', 'agent-planner-2'];

let system: TestSystem;

beforeAll(async () => {
  system = await TestSystem.start({isolatedProcesses: ISOLATED_PROCESSES});
}, 60_000);
afterAll(() => system.stop());

function waitForUnprovenRefusal(entry: number): Promise<unknown> {
  return eventually(`entry ${entry} refuses`, async () => {
    const {status, reason, outcome} = await chat(
      system.port(entry),
      'cut',
      1,
      false
    );
    if (status === 200) return false;
    expect([reason, outcome]).toEqual(['rules-unproven', 'not run']);
    return true;
  });
}

/**
 * Ends the cut and waits until all processes hold the latest revision and entry
 * 0 serves.
 */
async function healAndWait(): Promise<void> {
  system.deployment.heal();
  await system.waitForRevision();
  await system.waitForChat(0);
}

describe('a control instance that is silently cut off', () => {
  // A control instance, an entry and an agent can reach only each other.
  // Meanwhile a zone is taken out by the majority. The isolated instance still
  // serves the old rules; an entry that trusted one instance alone would keep
  // sending work into the zone for as long as the cut lasts.
  it('should stop new work of an entry and an agent that know only it', async () => {
    system.deployment.cut();
    expect(await system.submit({zonesOut: ['zone-a']})).toMatchObject({
      kind: 'accepted',
    });
    await system.waitForRevision(system.revision, OTHER_PROCESSES);
    await waitForUnprovenRefusal(0);
    const answers = await Promise.all(
      Array.from({length: 8}, (_, i) =>
        chat(system.port(1), `mainland ${i}`, 1, false)
      )
    );
    const targets = new Set(answers.map(answer => answer.target));
    for (const target of ['planner-0', 'planner-2'])
      expect(targets).not.toContain(target);
    await healAndWait();
    const {processes} = await system.status();
    expect(processes.map(one => one.heldRevision)).toEqual(
      processes.map(() => system.revision)
    );
    await system.submit();
    await system.waitForRevision();
  }, 45_000);

  // Requests get through and replies do not, or the other way round. Either way
  // the entry cannot prove that its rules are current, so it stops new work. The
  // rest of the system goes on, and operators can still submit rules.
  it.each(['to server', 'to client'] as const)(
    'should stop new work when nothing comes through %s',
    async direction => {
      system.deployment.cut(direction);
      await waitForUnprovenRefusal(0);
      expect(await system.submit()).toMatchObject({kind: 'accepted'});
      const answer = await chat(system.port(1), 'one way', 1, false);
      expect({...answer}).toEqual({...answer, status: 200});
      await healAndWait();
    },
    45_000
  );

  // A call that may run at most once is claimed through the isolated entry. No
  // quorum can be reached, so it is refused as "not run", and it must not run.
  it('should refuse a claim that no quorum can agree on, and not run it', async () => {
    const key = newIdempotencyKey();
    system.deployment.cut();
    const refused = await assign(system.port(0), key, 5);
    expect(refused.outcome).toBe('not run');
    expect(await system.ledgerRunCount(key)).toBe(0);
    const served = await assign(system.port(1), key, 5);
    expect(served.status).toBe(201);
    await healAndWait();
    // The recorded response is returned even while the entry knows no service. A
    // proof from replies that the cut held back can expire before the next poll.
    const again = await eventually('proven rules', async () => {
      const resent = await assign(system.port(0), key, 5);
      return resent.reason !== 'rules-unproven' && resent;
    });
    expect([again.status, again.body]).toEqual([201, served.body]);
    expect(await system.ledgerRunCount(key)).toBe(1);
  }, 45_000);
});
