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

function rulesOf(text: string): RuleIndex {
  const parsed = parseRules(text);
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.problems));
  return new RuleIndex(parsed.ruleSet);
}

describe('gate', () => {
  const index = rulesOf(RULES);
  let limit: number;
  let barred: Refusal | undefined;
  let gate: Gate;
  let ids = 0;

  const view: GateView = {
    targetId: 'planner-1',
    rules: () => index,
    limit: () => limit,
    refusal: () => barred,
  };

  /** Enters, and tells later how it went without waiting for it. */
  const enter = (
    change: Partial<Dispatch> = {},
    signal = new AbortController().signal
  ) => {
    const seen: {slot?: Slot; reason?: string} = {};
    gate.enter({...REQUEST, requestId: `r${++ids}`, ...change}, signal).then(
      slot => (seen.slot = slot),
      (err: unknown) =>
        (seen.reason =
          err instanceof RefusalError ? err.refusal.reason : String(err))
    );
    return seen;
  };
  const settle = () => jest.advanceTimersByTimeAsync(0);

  beforeEach(() => {
    jest.useFakeTimers();
    limit = 2;
    barred = undefined;
    gate = new Gate(view, new Metrics('test'));
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // A target in a cold start falls over: three entries each keep to its limit
  // and together exceed it. The count stands here, where all work meets.
  it('should never run more at once than the target bears', async () => {
    const all = Array.from({length: 5}, (_, i) =>
      enter({customer: `c${i}`, entryId: `entry-${i}`})
    );
    await settle();
    expect(all.filter(one => one.slot)).toHaveLength(2);
    all[0]?.slot?.release(10);
    await settle();
    expect(all.filter(one => one.slot)).toHaveLength(3);
    expect(gate.outstanding).toBe(2);
  });

  it('should give a slot back once, however often it is released', async () => {
    const first = enter({customer: 'a'});
    const second = enter({customer: 'b'});
    await settle();
    first.slot?.release();
    first.slot?.release();
    expect(gate.outstanding).toBe(1);
    expect(second.slot).toBeDefined();
  });

  // The target turned cold with work running: queued work must wait for the
  // lower limit, not for any slot that comes free.
  it('should start nothing while a lower limit is exceeded', async () => {
    const running = [enter({customer: 'a'}), enter({customer: 'b'})];
    const waiting = enter({customer: 'c'});
    await settle();
    limit = 1;
    running[0]?.slot?.release();
    await settle();
    expect(waiting.slot).toBeUndefined();
    running[1]?.slot?.release();
    await settle();
    expect(waiting.slot).toBeDefined();
  });

  // Operators take the zone out while requests wait in the queue. Each must be
  // told at once that it has not run; none may start when a slot comes free.
  it('should refuse what waits as soon as the zone is out', async () => {
    limit = 1;
    enter({customer: 'a'});
    const waiting = enter({customer: 'b'});
    await settle();
    barred = {reason: 'zone-out', step: 'gate', peer: 'planner-1', detail: ''};
    gate.recheck();
    await settle();
    expect(waiting).toEqual({reason: 'zone-out'});
    expect(REFUSALS['zone-out'].outcome).toBe('not run');
    expect(gate.queued).toBe(0);
  });

  // The rules arrive between the recheck and the free slot: judged again then.
  it('should judge a request again when its turn comes', async () => {
    limit = 1;
    const running = enter({customer: 'a'});
    const waiting = enter({customer: 'b'});
    await settle();
    barred = {
      reason: 'target-leaving',
      step: 'gate',
      peer: 'planner-1',
      detail: '',
    };
    running.slot?.release();
    await settle();
    expect(waiting).toEqual({reason: 'target-leaving'});
  });

  // Nothing else happens at this target, so no event would look at the queue:
  // the answer must come when the deadline passes, not with the next request.
  it('should answer a request whose deadline passes in the queue at once', async () => {
    limit = 0;
    const waiting = enter({remainingMs: 700});
    await jest.advanceTimersByTimeAsync(699);
    expect(waiting.reason).toBeUndefined();
    await jest.advanceTimersByTimeAsync(2);
    expect(waiting.reason).toBe('deadline-passed');
  });

  it('should forget a request whose caller has gone', async () => {
    limit = 0;
    const gone = new AbortController();
    const waiting = enter({}, gone.signal);
    gone.abort();
    await settle();
    expect(waiting.reason).toBe('deadline-passed');
    expect(gate.queued).toBe(0);
  });

  it('should keep a customer to its own limits', async () => {
    limit = 4;
    const depot = [enter(), enter()];
    await settle();
    expect(depot.filter(one => one.slot)).toHaveLength(1);
    limit = 1;
    const harbour = [1, 2, 3].map(() => enter({customer: 'harbour'}));
    await settle();
    expect(harbour.map(one => one.reason)).toEqual([
      undefined,
      undefined,
      'customer-limit',
    ]);
  });
});
