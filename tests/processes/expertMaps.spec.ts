import {chat} from '../../bench/deployment/callers';
import {SMALL} from '../../bench/deployment/shape';
import {TestSystem, eventually} from '../fixtures/system';

const RANKS = 4;
const GROUP_ARGS = ['--step-ms', '10', '--experts', '16', '--spare-slots', '4'];
const RULES = {extra: ['rebalance planner on gain=1%']};

/** From which step a rank used which map. */
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
  await system.inForce();
}, 60_000);
afterAll(() => system.stop());

async function histories(): Promise<readonly (readonly MapSpan[])[]> {
  const ports = system.fakePorts('planner');
  const states = await Promise.all(
    ports.map(port => system.fake(port, 'state'))
  );
  return states.map(state => state['mapHistory'] as readonly MapSpan[]);
}

/** Popularity follows the prompts, so traffic makes it uneven. */
async function traffic(label: string): Promise<void> {
  const calls = Array.from({length: 8}, (_, i) =>
    chat(system.port(i % 2), `${label} ${i}`, 32, false)
  );
  await Promise.all(calls);
}

/** Waits until every rank has switched at least `count` times. */
function switched(label: string, count: number) {
  return eventually(`${count} switches on all ranks`, async () => {
    await traffic(label);
    const seen = await histories();
    return seen.every(spans => spans.length > count) ? seen : undefined;
  });
}

function expectOneMapAtEachStep(seen: readonly (readonly MapSpan[])[]): void {
  const shortest = Math.min(...seen.map(spans => spans.length));
  const common = seen.map(spans => spans.slice(0, shortest));
  for (const spans of common) expect(spans).toEqual(common[0]);
}

describe('expert maps of a group in lock-step', () => {
  // Callers wait while a rank that missed the switch computes with another map
  // than the rest. The commit reaches each rank late and apart; still each must
  // change at the very same step.
  it('should change on all ranks at the same step', async () => {
    expectOneMapAtEachStep(await switched('first', 1));
  });

  // The leader dies while switches go on; its successor takes a higher fence.
  // No rank may act on what the old one had not made durable, and none may
  // stand at its barrier for good.
  it('should go on changing together after the leader was killed', async () => {
    const before = await histories();
    const longest = Math.max(...before.map(spans => spans.length));
    await system.deployment.child(await system.leader()).end('SIGKILL');
    expectOneMapAtEachStep(await switched('second', longest));
  });

  // An agent dies and comes back; it knows no fence and no map, and must learn
  // both from control before its rank takes part again.
  it('should go on changing together after an agent was killed', async () => {
    const before = await histories();
    const longest = Math.max(...before.map(spans => spans.length));
    await system.deployment.child('agent-planner-2').end('SIGKILL');
    await system.deployment.restart('agent-planner-2');
    expectOneMapAtEachStep(await switched('third', longest));
  });
});
