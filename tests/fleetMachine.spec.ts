import {FleetMachine} from '../src/control/fleet/fleetMachine';
import type {FleetAction, FleetEvent} from '../src/control/fleet/fleetMachine';
import {FleetState} from '../src/control/fleet/fleetState';
import type {ModelOrderAnswer} from '../src/core/fleetMessages';

const RETRY_MS = 3_000;
const DONE = {kind: 'done'} as const;

function change(targetId: string) {
  return {targetId, model: 'llama', version: 'v2', rule: 'serve llama'};
}

/** One control instance on the log that all of them share. */
class Instance {
  readonly sent: Extract<FleetAction, {kind: 'send'}>[] = [];
  readonly machine: FleetMachine;
  /** Proposals whose answer was lost on the way. */
  answersLost = false;
  /** Proposals that have not reached the log yet. */
  held: Extract<FleetAction, {kind: 'propose'}>[] | undefined;
  nowMs = 0;

  constructor(
    private readonly state: FleetState,
    holder: string
  ) {
    this.machine = new FleetMachine({
      holder,
      resendMs: 1_000,
      proposeRetryMs: RETRY_MS,
    });
  }

  lead(): this {
    this.handle({kind: 'lead'});
    return this.tick();
  }

  tick(): this {
    this.nowMs += RETRY_MS;
    return this.handle({kind: 'tick', wanted: true});
  }

  handle(event: FleetEvent): this {
    for (const action of this.machine.handle(event, this.nowMs))
      this.carryOut(action);
    return this;
  }

  /** The agent of the last order sent answers. */
  answer(answer: ModelOrderAnswer): this {
    const {targetId, order} = this.sent.at(-1)!;
    return this.handle({kind: 'answer', targetId, order, answer});
  }

  release(): void {
    const late = this.held ?? [];
    this.held = undefined;
    late.forEach(action => this.carryOut(action));
  }

  private carryOut(action: FleetAction): void {
    if (action.kind === 'send') return void this.sent.push(action);
    if (action.kind === 'read') return this.read(action.seq);
    if (this.held !== undefined) return void this.held.push(action);
    const {command} = action;
    if (command.kind === 'fleetFence') {
      const {fence} = this.state.applyFence(command);
      return void this.handle({kind: 'fence', fence});
    }
    const {kind: result} =
      command.kind === 'fleetOrder'
        ? this.state.applyOrder(command)
        : this.state.applyEnd(command);
    if (this.answersLost) return;
    const open = this.state.open();
    this.handle({kind: 'recorded', command, result, open});
  }

  private read(seq: number): void {
    const {fence} = this.state;
    this.handle({kind: 'read', seq, fence, open: this.state.open()});
  }
}

let state: FleetState;
let first: Instance;
let second: Instance;

beforeEach(() => {
  state = new FleetState();
  first = new Instance(state, 'c1');
  second = new Instance(state, 'c2');
});

const plan = (...targets: readonly string[]): FleetEvent => ({
  kind: 'plan',
  changes: targets.map(change),
});

describe('orders for models by the leader', () => {
  it('should record an order, send it until it ended, and record the end', () => {
    first.lead().handle(plan('t1'));
    first.tick();
    expect(first.sent).toHaveLength(2);
    expect(state.open()).toMatchObject([{targetId: 't1'}]);
    first.answer({kind: 'changing'}).answer(DONE);
    expect(state.open()).toEqual([]);
    expect(state.lastModelOf('t1')).toEqual({model: 'llama', version: 'v2'});
    expect(first.machine.idle).toBe(true);
  });

  it('should take no fence while nothing is wanted', () => {
    first.handle({kind: 'lead'});
    first.handle({kind: 'tick', wanted: false});
    expect(state.fence).toBe(0);
  });

  // The leader dies between order and answer. The target may be changing, so
  // the next leader must neither forget it nor give it another order.
  it('should take over what is under way, under a newer fence', () => {
    first.lead().handle(plan('t1'));
    second.lead();
    expect(second.sent).toEqual([
      {...first.sent[0], order: {...first.sent[0]?.order, fence: 2}},
    ]);
    second.answer(DONE);
    expect(state.open()).toEqual([]);
  });

  // The old leader was cut off with an order proposed. Recorded after the new
  // leader has planned, it would take a second target from the same model.
  it('should not send what was not recorded in time', () => {
    first.lead();
    first.held = [];
    first.handle(plan('t1'));
    second.lead();
    first.release();
    expect(first.sent).toEqual([]);
    expect(state.open()).toEqual([]);
  });

  // The old leader hears the end of an order that the new one has sent again.
  it('should not end an order under an old fence', () => {
    first.lead().handle(plan('t1'));
    second.lead();
    first.answer({kind: 'failed', detail: ''});
    expect(state.open()).toHaveLength(1);
    expect(state.failuresOf('serve llama')).toBe(0);
  });

  // The log's answer is lost. A new proposal in its place could count as well,
  // and two targets would change where one was planned.
  it('should propose the same again until it is answered', () => {
    first.lead().answersLost = true;
    first.handle(plan('t1')).handle(plan('t2'));
    first.answersLost = false;
    first.tick();
    expect(state.open()).toMatchObject([{targetId: 't1'}]);
    expect(first.sent).toHaveLength(1);
  });

  it('should take a newer fence when an agent knows one', () => {
    first.lead().handle(plan('t1'));
    state.applyFence({kind: 'fleetFence', holder: 'c2'});
    first.answer({kind: 'fenced', highestFence: 2});
    expect(first.sent.at(-1)?.order.fence).toBe(3);
  });

  it('should count failures in a row by rule, over a restart', () => {
    first.lead();
    for (const target of ['t1', 't2'])
      first.handle(plan(target)).answer({kind: 'failed', detail: ''});
    const restored = new FleetState();
    restored.restore(state.snapshot());
    expect(restored.failuresOf('serve llama')).toBe(2);
    expect(restored.snapshot()).toEqual(state.snapshot());
    first.handle(plan('t3')).answer(DONE);
    expect(state.failuresOf('serve llama')).toBe(0);
  });
});
