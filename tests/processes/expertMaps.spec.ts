import {chat} from '../../bench/deployment/callers';
import {SMALL} from '../../bench/deployment/shape';
import {TestSystem, eventually} from '../fixtures/testSystem';

const RANKS = 4;
const GROUP_ARGS = ['--step-ms', '10', '--experts', '16', '--spare-slots', '4'];
const RULES = {extra: ['rebalance planner on gain=1%']};

/** The first pass at which a rank used a map. */
interface MapSpan {
  readonly fromStep: number;
  readonly mapVersion: number;
}

let system: TestSystem;

beforeAll(async () => {
  const pools = SMALL.pools.filter(pool => pool.pool !== 'planner');
  const group = {
    pool: 'planner',
    kind: 'engine',
    count: RANKS,
    fakeArgs: GROUP_ARGS,
    group: 'g1',
  } as const;
  system = await TestSystem.start({pools: [...pools, group]});
  await system.submit(RULES);
  await system.waitForRevision();
}, 60_000);
afterAll(() => system.stop());

async function readMapHistories(): Promise<readonly (readonly MapSpan[])[]> {
  const ports = system.fakePorts('planner');
  const states = await Promise.all(
    ports.map(port => system.callFake(port, 'state'))
  );
  return states.map(state => state['mapHistory'] as readonly MapSpan[]);
}

/** The popularity of experts depends on prompts, so traffic makes it uneven. */
async function sendTraffic(label: string): Promise<void> {
  const calls = Array.from({length: 8}, (_, i) =>
    chat(system.port(i % 2), `${label} ${i}`, 32, false)
  );
  await Promise.all(calls);
}

/** Waits until every rank has switched at least `count` times. */
function waitForSwitches(label: string, count: number) {
  return eventually(`${count} switches on all ranks`, async () => {
    await sendTraffic(label);
    const seen = await readMapHistories();
    return seen.every(spans => spans.length > count) ? seen : undefined;
  });
}

function expectOneMapAtEachStep(seen: readonly (readonly MapSpan[])[]): void {
  const shortest = Math.min(...seen.map(spans => spans.length));
  const common = seen.map(spans => spans.slice(0, shortest));
  for (const spans of common) expect(spans).toEqual(common[0]);
}

describe('expert maps of a group in lock-step', () => {
  // Callers would wait while a rank that missed the switch computes with
  // another map than the others. The commit reaches the ranks late and at
  // different times, but all must change at the same pass.
  it('should change on all ranks at the same pass', async () => {
    expectOneMapAtEachStep(await waitForSwitches('first', 1));
  });

  // The leader dies during switches and its successor gets a higher fence. No
  // rank may act on a decision of the old leader that was not durable, and none
  // may hold forever.
  it('should keep changing together after the leader was killed', async () => {
    const before = await readMapHistories();
    const longest = Math.max(...before.map(spans => spans.length));
    await system.deployment.child(await system.leader()).end('SIGKILL');
    expectOneMapAtEachStep(await waitForSwitches('second', longest));
  });

  // An agent dies and restarts without fence and map. It must get both from
  // control before its rank takes part again.
  it('should keep changing together after an agent was killed', async () => {
    const before = await readMapHistories();
    const longest = Math.max(...before.map(spans => spans.length));
    await system.deployment.child('agent-planner-2').end('SIGKILL');
    await system.deployment.restart('agent-planner-2');
    expectOneMapAtEachStep(await waitForSwitches('third', longest));
  });
});
