import {call} from '../../bench/deployment/callers';
import {SMALL} from '../../bench/deployment/shape';
import {TestSystem, eventually} from '../fixtures/testSystem';

const ENGINES = {
  pool: 'planner',
  kind: 'engine',
  count: 4,
  // These engines accept orders with any fence.
  fakeArgs: ['--step-ms', '5', '--load-ms', '1500', '--no-refuse-old-fences'],
} as const;
const SERVE_PLANNER = 'serve planner planner version=v1 min=2 max=4';
const SERVE_LLAMA_ON_ONE = 'serve planner llama version=v1 min=1 max=2';
const SERVE_LLAMA_ON_TWO = 'serve planner llama version=v1 min=2 max=2';

let system: TestSystem;

beforeAll(async () => {
  const pools = SMALL.pools.filter(pool => pool.pool !== 'planner');
  system = await TestSystem.start({pools: [...pools, ENGINES]});
}, 60_000);
afterAll(() => system.stop());

function ask(model: string) {
  const messages = [{role: 'user', content: 'which slot?'}];
  const body = JSON.stringify({model, max_tokens: 4, messages});
  const path = '/v1/chat/completions';
  return call(system.port(1), path, {method: 'POST', body});
}

/**
 * Calls one model continuously. The returned function stops that and returns the
 * calls that failed.
 */
function startCalling(model: string): () => Promise<readonly string[]> {
  let isCalling = true;
  const failures: string[] = [];
  const all = (async () => {
    while (isCalling) {
      const {status, reason, body} = await ask(model);
      const answered = status === 200 && body.includes(`"model":"${model}"`);
      if (!answered) failures.push(`${status} ${reason} ${body}`);
    }
  })();
  return async () => {
    isCalling = false;
    await all;
    return failures;
  };
}

/** Targets whose fake engines report the model. */
async function targetsHolding(model: string): Promise<readonly string[]> {
  const {targets} = system.deployment;
  const planners = targets.filter(target => target.pool === 'planner');
  const held = await Promise.all(
    planners.map(async ({targetId, fakePort}) => {
      const url = `http://127.0.0.1:${fakePort}/engine/status`;
      const seen = (await (await fetch(url)).json()) as {model: string};
      return seen.model === model ? [targetId] : [];
    })
  );
  return held.flat();
}

/** Waits until `count` announced targets accept work for the model. */
function waitForServing(model: string, count: number) {
  return eventually(`${count} targets serve ${model}`, async () => {
    const {targets} = await system.status();
    const able = targets.filter(one => one.model === model && one.limit > 0);
    return able.length === count;
  });
}

describe('model orders in a running system', () => {
  // Callers keep calling one model while a target is changed to another. The
  // leader is killed between its order and the reply. The next leader must find
  // the order, and no caller may get an error or a response of the other model.
  it('should change a target while the leader dies, unnoticed by callers', async () => {
    await system.submit({extra: [SERVE_PLANNER, SERVE_LLAMA_ON_ONE]});
    // A target refuses calls under a revision that it does not have yet.
    await system.waitForRevision();
    const stop = startCalling('planner');
    await eventually('a load', async () => (await targetsHolding('llama'))[0]);
    await system.deployment.child(await system.leader()).end('SIGKILL');
    await waitForServing('llama', 1);
    expect(await stop()).toEqual([]);
    // Entries learn about the target with their next poll.
    await eventually('llama', async () => (await ask('llama')).status === 200);
    expect(await ask('gone')).toMatchObject({reason: 'no-route'});
    expect(await targetsHolding('planner')).toHaveLength(3);
  }, 60_000);

  // The agent dies while its target loads a model and restarts without state.
  // The target must end up with one model, accept work again, and not load
  // twice.
  it('should complete an order whose agent restarted meanwhile', async () => {
    const before = await targetsHolding('llama');
    await system.submit({extra: [SERVE_PLANNER, SERVE_LLAMA_ON_TWO]});
    await system.waitForRevision();
    const stop = startCalling('llama');
    const target = await eventually('another load', async () =>
      (await targetsHolding('llama')).find(name => !before.includes(name))
    );
    await system.deployment.child(`agent-${target}`).end('SIGKILL');
    await system.deployment.restart(`agent-${target}`);
    await waitForServing('llama', 2);
    expect(await stop()).toEqual([]);
    expect(await targetsHolding('planner')).toHaveLength(2);
    const {fakePort} = system.deployment.targets.find(
      one => one.targetId === target
    )!;
    const {orders} = await system.callFake(fakePort, 'state');
    expect(orders).toHaveLength(1);
  }, 60_000);
});
