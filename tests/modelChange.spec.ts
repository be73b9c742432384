import {setImmediate as turn} from 'node:timers/promises';
import {ModelChange} from '../src/agent/fleet/modelChange';
import type {OrderCheckAnswer} from '../src/core/fleetMessages';
import type {
  OrderAnswer,
  TargetObservation,
  TargetOrder,
} from '../src/target/targetAdapter';

const DONE = {kind: 'done'} as const;
const CHANGING = {kind: 'changing'} as const;
const ORDER = {fence: 4, id: 40, model: 'llama', modelVersion: 'v2'};
const EVENT_LOOP_TURNS = 60;

/** A fake context whose engine accepts every order, whatever its fence. */
class Fixture {
  outstanding = 0;
  running = 0;
  loadedModel = {model: 'phi', modelVersion: 'v1'};
  state: 'ready' | 'loading' = 'ready';
  open = true;
  /** Undefined: no leader responds. */
  orderCheck: OrderCheckAnswer | undefined = {fence: 4, openId: 40};
  answers: (OrderAnswer | 'lost')[] = [];
  readonly sentOrders: TargetOrder[] = [];
  readonly log: string[] = [];
  private now = 0;

  readonly change = new ModelChange({
    close: () => void (this.open = false),
    reopen: changed => {
      this.open = true;
      this.log.push(changed ? 'open cold' : 'open');
    },
    outstanding: () => this.outstanding,
    observe: async (): Promise<TargetObservation> => ({
      ...this.loadedModel,
      state: this.state,
      adapters: [],
      cacheEvents: {events: [], missed: 0},
      load: {
        running: this.running,
        waiting: 0,
        tokensInWork: 0,
        reportedAtMs: this.now,
        loadAgeMs: 0,
      },
    }),
    order: async order => {
      this.sentOrders.push(order);
      const answer = this.answers.shift() ?? DONE;
      if (answer === 'lost') throw new Error('connection lost');
      if (answer.kind === 'done' && order.kind === 'loadModel')
        this.loadedModel = {
          model: order.model,
          modelVersion: order.modelVersion,
        };
      return answer;
    },
    checkOrder: async () => {
      if (this.orderCheck === undefined) throw new Error('no leader');
      return this.orderCheck;
    },
    pause: async () => {
      this.now += 100;
      await turn();
    },
    nowMs: () => this.now,
  });

  async settle(): Promise<void> {
    for (let i = 0; i < EVENT_LOOP_TURNS; i++) await turn();
  }
}

describe('model order at an agent', () => {
  it('should load, open the gate to a cold target, and report done when the order is repeated', async () => {
    const fixture = new Fixture();
    expect(fixture.change.receive(ORDER)).toEqual(CHANGING);
    expect(fixture.open).toBe(false);
    await fixture.settle();
    expect(fixture.change.receive(ORDER)).toEqual(DONE);
    expect(fixture.log).toEqual(['open cold']);
    expect(fixture.sentOrders).toEqual([
      {kind: 'loadModel', fence: 4, model: 'llama', modelVersion: 'v2'},
    ]);
  });

  // Requests are running when the order arrives. If it were sent at once, the
  // engine would unload the weights that they use.
  it.each(['outstanding', 'running'] as const)(
    'should wait until %s requests have ended',
    async kind => {
      const fixture = new Fixture();
      fixture[kind] = 1;
      fixture.change.receive(ORDER);
      await fixture.settle();
      expect(fixture.sentOrders).toEqual([]);
      expect(fixture.open).toBe(false);
      fixture[kind] = 0;
      await fixture.settle();
      expect(fixture.sentOrders).toHaveLength(1);
    }
  );

  // An order of a replaced leader arrives late. The engine does not check
  // fences and the agent has restarted, so neither knows a newer one. Only the
  // current leader knows that the order is no longer open.
  it.each([undefined, 50])(
    'should not send an order to the target when the open order is %s',
    async openId => {
      const fixture = new Fixture();
      fixture.orderCheck = {fence: 5, openId};
      fixture.change.receive(ORDER);
      await fixture.settle();
      expect(fixture.sentOrders).toEqual([]);
      expect(fixture.log).toEqual(['open']);
      const answer = fixture.change.receive(ORDER);
      expect(answer).toEqual({kind: 'fenced', highestFence: 5});
    }
  );

  it('should send no order to the target while no leader responds', async () => {
    const fixture = new Fixture();
    fixture.orderCheck = undefined;
    fixture.change.receive(ORDER);
    await fixture.settle();
    expect(fixture.sentOrders).toEqual([]);
  });

  // The leader fails during the order, and the next one sends the same order
  // with its own fence. If it counted as another order, the target would drain
  // and load twice.
  it('should continue when a later leader takes over the order', async () => {
    const fixture = new Fixture();
    fixture.outstanding = 1;
    fixture.change.receive(ORDER);
    fixture.orderCheck = {fence: 5, openId: 40};
    expect(fixture.change.receive({...ORDER, fence: 5})).toEqual(CHANGING);
    fixture.outstanding = 0;
    await fixture.settle();
    expect(fixture.sentOrders).toMatchObject([{fence: 5}]);
    expect(fixture.change.receive({...ORDER, fence: 5})).toEqual(DONE);
    const late = fixture.change.receive(ORDER);
    expect(late).toEqual({kind: 'fenced', highestFence: 5});
  });

  it('should keep serving the old model when the load fails', async () => {
    const fixture = new Fixture();
    fixture.answers = [{kind: 'failed', detail: 'weight store: status 429'}];
    fixture.change.receive(ORDER);
    await fixture.settle();
    expect(fixture.open).toBe(true);
    expect(fixture.change.receive(ORDER)).toMatchObject({kind: 'failed'});
  });

  // The response to an order is lost, so the order may take effect at any time.
  // If the gate opened before that, callers could get responses of either
  // model.
  it('should keep the gate closed until an order is answered', async () => {
    const fixture = new Fixture();
    fixture.answers = new Array<'lost'>(EVENT_LOOP_TURNS * 20).fill('lost');
    fixture.change.receive(ORDER);
    await fixture.settle();
    expect(fixture.open).toBe(false);
    fixture.answers = [];
    await fixture.settle();
    expect(fixture.change.receive(ORDER)).toEqual(DONE);
  });

  // The agent restarts while the engine loads. If the gate opened at once,
  // requests would start under the old model and end under the new one.
  it('should stay closed after a restart until the open order has ended', async () => {
    const fixture = new Fixture();
    fixture.open = false;
    fixture.state = 'loading';
    void fixture.change.recover();
    await fixture.settle();
    expect(fixture.open).toBe(false);
    fixture.change.receive(ORDER);
    fixture.loadedModel = {model: 'llama', modelVersion: 'v2'};
    fixture.state = 'ready';
    await fixture.settle();
    expect(fixture.sentOrders).toEqual([]);
    expect(fixture.change.receive(ORDER)).toEqual(DONE);
    expect(fixture.log).toEqual(['open cold']);
  });

  it('should open after a restart when no order is open', async () => {
    const fixture = new Fixture();
    fixture.open = false;
    fixture.orderCheck = undefined;
    void fixture.change.recover();
    await fixture.settle();
    expect(fixture.open).toBe(false);
    fixture.orderCheck = {fence: 7};
    await fixture.settle();
    expect(fixture.open).toBe(true);
    const old = fixture.change.receive(ORDER);
    expect(old).toEqual({kind: 'fenced', highestFence: 7});
  });
});
