import {call} from '../../bench/deployment/callers';
import {SMALL} from '../../bench/deployment/shape';
import {TestSystem, eventually} from '../fixtures/system';

const ENGINES = {
  pool: 'planner',
  kind: 'engine',
  count: 4,
  // Engines that obey every order, however old its fence.
  fakeArgs: ['--step-ms', '5', '--load-ms', '1500', '--no-refuse-old-fences'],
} as const;
const OWN = 'serve planner planner version=v1 min=2 max=4';
const ONE = 'serve planner llama version=v1 min=1 max=2';
const TWO = 'serve planner llama version=v1 min=2 max=2';

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

/** Calls one model without a pause until stopped; returns what went wrong. */
function callers(model: string): () => Promise<readonly string[]> {
  let going = true;
  const wrong: string[] = [];
  const all = (async () => {
    while (going) {
      const {status, reason, body} = await ask(model);
      const answered = status === 200 && body.includes(`"model":"${model}"`);
      if (!answered) wrong.push(`${status} ${reason} ${body}`);
    }
  })();
  return async () => {
    going = false;
    await all;
    return wrong;
  };
}

/** Names of targets that hold the model, as their fakes say. */
async function holders(model: string): Promise<readonly string[]> {
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

/** Waits until so many announced targets take work for the model. */
function serving(model: string, count: number) {
  return eventually(`${count} targets serve ${model}`, async () => {
    const {targets} = await system.status();
    const able = targets.filter(one => one.model === model && one.limit > 0);
    return able.length === count;
  });
}

describe('orders for models in a running system', () => {
  // Callers go on calling the one model while a target is taken for another.
  // The leader is killed between its order and the answer; the next one must
  // find the order, and no caller may get an error or the other model's answer.
  it('should change a target while the leader dies, unseen by callers', async () => {
    await system.submit({extra: [OWN, ONE]});
    // A target refuses what comes under rules that it does not hold yet.
    await system.inForce();
    const stop = callers('planner');
    await eventually('a load', async () => (await holders('llama'))[0]);
    await system.deployment.child(await system.leader()).end('SIGKILL');
    await serving('llama', 1);
    expect(await stop()).toEqual([]);
    // Entries hear of the target with a poll of their own.
    await eventually('llama', async () => (await ask('llama')).status === 200);
    expect(await ask('gone')).toMatchObject({reason: 'no-route'});
    expect(await holders('planner')).toHaveLength(3);
  }, 60_000);

  // The agent dies while its target loads, and knows nothing when it is back.
  // Its target must end up with one model, take work again, and get no second
  // load.
  it('should end an order whose agent restarted meanwhile', async () => {
    const before = await holders('llama');
    await system.submit({extra: [OWN, TWO]});
    await system.inForce();
    const stop = callers('llama');
    const target = await eventually('another load', async () =>
      (await holders('llama')).find(name => !before.includes(name))
    );
    await system.deployment.child(`agent-${target}`).end('SIGKILL');
    await system.deployment.restart(`agent-${target}`);
    await serving('llama', 2);
    expect(await stop()).toEqual([]);
    expect(await holders('planner')).toHaveLength(2);
    const {fakePort} = system.deployment.targets.find(
      one => one.targetId === target
    )!;
    const {orders} = await system.fake(fakePort, 'state');
    expect(orders).toHaveLength(1);
  }, 60_000);
});
