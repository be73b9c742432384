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
const TURNS = 60;

/** An engine that obeys whatever it is sent, and its agent's surroundings. */
class Fixture {
  outstanding = 0;
  running = 0;
  held = {model: 'phi', modelVersion: 'v1'};
  state: 'ready' | 'loading' = 'ready';
  open = true;
  /** Undefined: no leader answers. */
  known: OrderCheckAnswer | undefined = {fence: 4, openId: 40};
  answers: (OrderAnswer | 'lost')[] = [];
  readonly obeyed: TargetOrder[] = [];
  readonly log: string[] = [];
  private now = 0;

  readonly change = new ModelChange({
    close: () => void (this.open = false),
    reopen: changed => {
      this.open = true;
      this.log.push(changed ? 'open cold' : 'open');
    },
    outstanding: () => this.outstanding,
    look: async (): Promise<TargetObservation> => ({
      ...this.held,
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
      this.obeyed.push(order);
      const answer = this.answers.shift() ?? DONE;
      if (answer === 'lost') throw new Error('connection lost');
      if (answer.kind === 'done' && order.kind === 'loadModel')
        this.held = {model: order.model, modelVersion: order.modelVersion};
      return answer;
    },
    check: async () => {
      if (this.known === undefined) throw new Error('no leader');
      return this.known;
    },
    pause: async () => {
      this.now += 100;
      await turn();
    },
    nowMs: () => this.now,
  });

  async settle(): Promise<void> {
    for (let i = 0; i < TURNS; i++) await turn();
  }
}

describe('order for a model at an agent', () => {
  it('should load, open the gate to a cold target, and say so when asked again', async () => {
    const fixture = new Fixture();
    expect(fixture.change.receive(ORDER)).toEqual(CHANGING);
    expect(fixture.open).toBe(false);
    await fixture.settle();
    expect(fixture.change.receive(ORDER)).toEqual(DONE);
    expect(fixture.log).toEqual(['open cold']);
    expect(fixture.obeyed).toEqual([
      {kind: 'loadModel', fence: 4, model: 'llama', modelVersion: 'v2'},
    ]);
  });

  // Callers have answers under way when the order comes. Told at once, the
  // engine would drop the weights beneath them.
  it.each(['outstanding', 'running'] as const)(
    'should wait until what is %s has ended',
    async kind => {
      const fixture = new Fixture();
      fixture[kind] = 1;
      fixture.change.receive(ORDER);
      await fixture.settle();
      expect(fixture.obeyed).toEqual([]);
      expect(fixture.open).toBe(false);
      fixture[kind] = 0;
      await fixture.settle();
      expect(fixture.obeyed).toHaveLength(1);
    }
  );

  // A replaced leader's order arrives late; the engine ignores fences and the
  // agent has restarted, so that neither knows a newer one. Only the leader of
  // the day can tell that the order is over.
  it.each([undefined, 50])(
    'should not let an order through when %s is open instead',
    async openId => {
      const fixture = new Fixture();
      fixture.known = {fence: 5, openId};
      fixture.change.receive(ORDER);
      await fixture.settle();
      expect(fixture.obeyed).toEqual([]);
      expect(fixture.log).toEqual(['open']);
      const answer = fixture.change.receive(ORDER);
      expect(answer).toEqual({kind: 'fenced', highestFence: 5});
    }
  );

  it('should let nothing through while no leader can be asked', async () => {
    const fixture = new Fixture();
    fixture.known = undefined;
    fixture.change.receive(ORDER);
    await fixture.settle();
    expect(fixture.obeyed).toEqual([]);
  });

  // The leader dies with the order under way. The next one sends the same order
  // under its own fence; done twice, the target would drain and load twice.
  it('should go on when a later leader takes the order over', async () => {
    const fixture = new Fixture();
    fixture.outstanding = 1;
    fixture.change.receive(ORDER);
    fixture.known = {fence: 5, openId: 40};
    expect(fixture.change.receive({...ORDER, fence: 5})).toEqual(CHANGING);
    fixture.outstanding = 0;
    await fixture.settle();
    expect(fixture.obeyed).toMatchObject([{fence: 5}]);
    expect(fixture.change.receive({...ORDER, fence: 5})).toEqual(DONE);
    const late = fixture.change.receive(ORDER);
    expect(late).toEqual({kind: 'fenced', highestFence: 5});
  });

  it('should leave the old model in service when the load fails', async () => {
    const fixture = new Fixture();
    fixture.answers = [{kind: 'failed', detail: 'weight store: status 429'}];
    fixture.change.receive(ORDER);
    await fixture.settle();
    expect(fixture.open).toBe(true);
    expect(fixture.change.receive(ORDER)).toMatchObject({kind: 'failed'});
  });

  // The engine got the order and the answer was lost: it may obey at any time.
  // Opened before that, callers would be answered by either model.
  it('should keep the gate shut until an order is answered', async () => {
    const fixture = new Fixture();
    fixture.answers = new Array<'lost'>(TURNS * 20).fill('lost');
    fixture.change.receive(ORDER);
    await fixture.settle();
    expect(fixture.open).toBe(false);
    fixture.answers = [];
    await fixture.settle();
    expect(fixture.change.receive(ORDER)).toEqual(DONE);
  });

  // The agent restarts while the engine loads. Opened at once, work would start
  // under the old model and end under the new one.
  it('should stay shut after a restart until the order that is out has ended', async () => {
    const fixture = new Fixture();
    fixture.open = false;
    fixture.state = 'loading';
    void fixture.change.learn();
    await fixture.settle();
    expect(fixture.open).toBe(false);
    fixture.change.receive(ORDER);
    fixture.held = {model: 'llama', modelVersion: 'v2'};
    fixture.state = 'ready';
    await fixture.settle();
    expect(fixture.obeyed).toEqual([]);
    expect(fixture.change.receive(ORDER)).toEqual(DONE);
    expect(fixture.log).toEqual(['open cold']);
  });

  it('should open after a restart when no order is out', async () => {
    const fixture = new Fixture();
    fixture.open = false;
    fixture.known = undefined;
    void fixture.change.learn();
    await fixture.settle();
    expect(fixture.open).toBe(false);
    fixture.known = {fence: 7};
    await fixture.settle();
    expect(fixture.open).toBe(true);
    const old = fixture.change.receive(ORDER);
    expect(old).toEqual({kind: 'fenced', highestFence: 7});
  });
});
