import {Gate, GateView, Slot} from '../src/agent/gate';
import {Metrics} from '../src/core/metrics';
import {REFUSALS, Refusal, RefusalError} from '../src/core/refusal';
import type {Dispatch} from '../src/core/wire';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';

const RULES = `revision 1 # asked by Aoife
pool planner engine # asked by Aoife
customer harbour share=3 queue=2 # asked by Aoife
customer depot share=1 concurrent=1 # asked by Aoife
`;

const REQUEST: Dispatch = {
  requestId: 'r',
  entryId: 'entry-1',
  customer: 'depot',
  pool: 'planner',
  revision: 1,
  remainingMs: 10_000,
  attempt: 1,
  cost: 1,
  idempotent: true,
  agentBootId: 'boot-1',
  priority: 0,
};

function parseIndex(text: string): RuleIndex {
  const parsed = parseRules(text);
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.problems));
  return new RuleIndex(parsed.ruleSet);
}

describe('gate', () => {
  const index = parseIndex(RULES);
  let limit: number;
  let refusal: Refusal | undefined;
  let gate: Gate;
  let ids = 0;

  const view: GateView = {
    targetId: 'planner-1',
    rules: () => index,
    limit: () => limit,
    refusal: () => refusal,
  };

  /** Acquires a slot without waiting; the outcome is filled in later. */
  const acquire = (
    overrides: Partial<Dispatch> = {},
    signal = new AbortController().signal
  ) => {
    const outcome: {slot?: Slot; reason?: string} = {};
    gate
      .acquire({...REQUEST, requestId: `r${++ids}`, ...overrides}, signal)
      .then(
        slot => (outcome.slot = slot),
        (err: unknown) =>
          (outcome.reason =
            err instanceof RefusalError ? err.refusal.reason : String(err))
      );
    return outcome;
  };
  const settle = () => jest.advanceTimersByTimeAsync(0);

  beforeEach(() => {
    jest.useFakeTimers();
    limit = 2;
    refusal = undefined;
    gate = new Gate(view, new Metrics('test'));
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Three entries that each keep to the limit of a cold target exceed it
  // together and overload it. All requests pass the gate, so the limit is
  // enforced there.
  it('should never run more requests than the limit', async () => {
    const all = Array.from({length: 5}, (_, i) =>
      acquire({customer: `c${i}`, entryId: `entry-${i}`})
    );
    await settle();
    expect(all.filter(one => one.slot)).toHaveLength(2);
    all[0]?.slot?.release(10);
    await settle();
    expect(all.filter(one => one.slot)).toHaveLength(3);
    expect(gate.outstanding).toBe(2);
  });

  it('should give a slot back once, however often it is released', async () => {
    const first = acquire({customer: 'a'});
    const second = acquire({customer: 'b'});
    await settle();
    first.slot?.release();
    first.slot?.release();
    expect(gate.outstanding).toBe(1);
    expect(second.slot).toBeDefined();
  });

  // A target gets cold while requests run. Queued requests must wait for the
  // lower limit, not for the next released slot.
  it('should start nothing while a lower limit is exceeded', async () => {
    const running = [acquire({customer: 'a'}), acquire({customer: 'b'})];
    const waiting = acquire({customer: 'c'});
    await settle();
    limit = 1;
    running[0]?.slot?.release();
    await settle();
    expect(waiting.slot).toBeUndefined();
    running[1]?.slot?.release();
    await settle();
    expect(waiting.slot).toBeDefined();
  });

  // An operator takes the zone out while requests are queued. They must be
  // refused at once as not run, and none may start when a slot is released.
  it('should refuse queued requests as soon as the zone is out', async () => {
    limit = 1;
    acquire({customer: 'a'});
    const waiting = acquire({customer: 'b'});
    await settle();
    refusal = {reason: 'zone-out', step: 'gate', peer: 'planner-1', detail: ''};
    gate.recheckQueued();
    await settle();
    expect(waiting).toEqual({reason: 'zone-out'});
    expect(REFUSALS['zone-out'].outcome).toBe('not run');
    expect(gate.queued).toBe(0);
  });

  // The rules may change between the recheck and the release of a slot.
  it('should check a request again when its turn comes', async () => {
    limit = 1;
    const running = acquire({customer: 'a'});
    const waiting = acquire({customer: 'b'});
    await settle();
    refusal = {
      reason: 'target-leaving',
      step: 'gate',
      peer: 'planner-1',
      detail: '',
    };
    running.slot?.release();
    await settle();
    expect(waiting).toEqual({reason: 'target-leaving'});
  });

  // At a target without other requests, no event triggers a check of the queue.
  // The refusal must come at the deadline, not with the next request.
  it('should refuse a request at once when its deadline passes in the queue', async () => {
    limit = 0;
    const waiting = acquire({remainingMs: 700});
    await jest.advanceTimersByTimeAsync(699);
    expect(waiting.reason).toBeUndefined();
    await jest.advanceTimersByTimeAsync(2);
    expect(waiting.reason).toBe('deadline-passed');
  });

  it('should remove a request whose caller has disconnected', async () => {
    limit = 0;
    const gone = new AbortController();
    const waiting = acquire({}, gone.signal);
    gone.abort();
    await settle();
    expect(waiting.reason).toBe('deadline-passed');
    expect(gate.queued).toBe(0);
  });

  it('should enforce the limits of each customer', async () => {
    limit = 4;
    const depot = [acquire(), acquire()];
    await settle();
    expect(depot.filter(one => one.slot)).toHaveLength(1);
    limit = 1;
    const harbour = [1, 2, 3].map(() => acquire({customer: 'harbour'}));
    await settle();
    expect(harbour.map(one => one.reason)).toEqual([
      undefined,
      undefined,
      'customer-limit',
    ]);
  });
});
