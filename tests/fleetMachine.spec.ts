import {FleetMachine} from '../src/control/fleet/fleetMachine';
import type {FleetAction, FleetEvent} from '../src/control/fleet/fleetMachine';
import {FleetState} from '../src/control/fleet/fleetState';
import type {ModelOrderAnswer} from '../src/core/fleetMessages';

const RETRY_MS = 3_000;
const DONE = {kind: 'done'} as const;

function change(targetId: string) {
  return {targetId, model: 'llama', version: 'v2', rule: 'serve llama'};
}

/** A control instance; all instances of a test share one replicated state. */
class ControlFixture {
  readonly sent: Extract<FleetAction, {kind: 'send'}>[] = [];
  readonly machine: FleetMachine;
  /** Whether replies to proposals are lost. */
  repliesLost = false;
  /** Proposals that have not reached the log yet; not delayed if undefined. */
  heldProposals: Extract<FleetAction, {kind: 'propose'}>[] | undefined;
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

  /** Delivers a reply of the agent to the last order sent. */
  answer(answer: ModelOrderAnswer): this {
    const {targetId, order} = this.sent.at(-1)!;
    return this.handle({kind: 'answer', targetId, order, answer});
  }

  releaseProposals(): void {
    const late = this.heldProposals ?? [];
    this.heldProposals = undefined;
    late.forEach(action => this.carryOut(action));
  }

  private carryOut(action: FleetAction): void {
    if (action.kind === 'send') return void this.sent.push(action);
    if (action.kind === 'read') return this.read(action.seq);
    if (this.heldProposals !== undefined)
      return void this.heldProposals.push(action);
    const {command} = action;
    if (command.kind === 'fleetFence') {
      const {fence} = this.state.applyFence(command);
      return void this.handle({kind: 'fence', fence});
    }
    const {kind: result} =
      command.kind === 'fleetOrder'
        ? this.state.applyOrder(command)
        : this.state.applyEnd(command);
    if (this.repliesLost) return;
    const open = this.state.open();
    this.handle({kind: 'recorded', command, result, open});
  }

  private read(seq: number): void {
    const {fence} = this.state;
    this.handle({kind: 'read', seq, fence, open: this.state.open()});
  }
}

let state: FleetState;
let first: ControlFixture;
let second: ControlFixture;

beforeEach(() => {
  state = new FleetState();
  first = new ControlFixture(state, 'c1');
  second = new ControlFixture(state, 'c2');
});

const plan = (...targets: readonly string[]): FleetEvent => ({
  kind: 'plan',
  changes: targets.map(change),
});

describe('model orders of the leader', () => {
  it('should record an order, resend it until it ends, and record the outcome', () => {
    first.lead().handle(plan('t1'));
    first.tick();
    expect(first.sent).toHaveLength(2);
    expect(state.open()).toMatchObject([{targetId: 't1'}]);
    first.answer({kind: 'changing'}).answer(DONE);
    expect(state.open()).toEqual([]);
    expect(state.lastModelOf('t1')).toEqual({model: 'llama', version: 'v2'});
    expect(first.machine.idle).toBe(true);
  });

  it('should request no fence while no orders are needed', () => {
    first.handle({kind: 'lead'});
    first.handle({kind: 'tick', wanted: false});
    expect(state.fence).toBe(0);
  });

  // The leader dies between order and reply. The target may be loading, so the
  // next leader must neither lose the order nor send the target another one.
  it('should take over open orders under a newer fence', () => {
    first.lead().handle(plan('t1'));
    second.lead();
    expect(second.sent).toEqual([
      {...first.sent[0], order: {...first.sent[0]?.order, fence: 2}},
    ]);
    second.answer(DONE);
    expect(state.open()).toEqual([]);
  });

  // The old leader is partitioned with an order proposed. If it were recorded
  // after the new leader has planned, a second target would be taken from the
  // same model.
  it('should not send an order that was not recorded in time', () => {
    first.lead();
    first.heldProposals = [];
    first.handle(plan('t1'));
    second.lead();
    first.releaseProposals();
    expect(first.sent).toEqual([]);
    expect(state.open()).toEqual([]);
  });

  // The old leader receives the outcome of an order that the new leader has
  // sent again.
  it('should not end an order under an old fence', () => {
    first.lead().handle(plan('t1'));
    second.lead();
    first.answer({kind: 'failed', detail: ''});
    expect(state.open()).toHaveLength(1);
    expect(state.failuresOf('serve llama')).toBe(0);
  });

  // The reply of the log is lost. If another order were proposed instead, both
  // could be recorded, and two targets would change where one was planned.
  it('should repeat the same proposal until it gets a reply', () => {
    first.lead().repliesLost = true;
    first.handle(plan('t1')).handle(plan('t2'));
    first.repliesLost = false;
    first.tick();
    expect(state.open()).toMatchObject([{targetId: 't1'}]);
    expect(first.sent).toHaveLength(1);
  });

  it('should request a newer fence when an agent knows one', () => {
    first.lead().handle(plan('t1'));
    state.applyFence({kind: 'fleetFence', holder: 'c2'});
    first.answer({kind: 'fenced', highestFence: 2});
    expect(first.sent.at(-1)?.order.fence).toBe(3);
  });

  it('should count consecutive failures by rule across a restart', () => {
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
