import {BehaviorSubject} from 'rxjs';
import {RevisionView, awaitRevision} from '../src/agent/awaitRevision';
import {Cancellation} from '../src/core/cancellation';
import type {RefusalReason} from '../src/core/refusal';
import type {Dispatch} from '../src/core/wire';
import {DISPATCH} from './fixtures/agentPort';

const AHEAD: Dispatch = {...DISPATCH, agentBootId: 'boot', revision: 2};

let rules$: BehaviorSubject<{revision: number}>;
let otherReason: RefusalReason | undefined;
let caller: Cancellation;

const view: RevisionView = {
  targetId: 'ledger-0',
  get rules$() {
    return rules$;
  },
  refusal: ({revision}) => {
    const isBehind = revision > rules$.value.revision;
    const reason = isBehind ? 'rules-unproven' : otherReason;
    return reason && {reason, step: 'gate', peer: 'ledger-0', detail: ''};
  },
};

/** Starts a wait; the result is filled in when it ends. */
function start(change: Partial<Dispatch> = {}) {
  const wait: {remainingMs?: number; err?: unknown} = {};
  awaitRevision(view, {...AHEAD, ...change}, caller).then(
    ({remainingMs}) => (wait.remainingMs = remainingMs),
    err => (wait.err = err)
  );
  return wait;
}

const advance = (ms: number) => jest.advanceTimersByTimeAsync(ms);

beforeEach(() => {
  jest.useFakeTimers();
  rules$ = new BehaviorSubject({revision: 1});
  otherReason = undefined;
  caller = new Cancellation();
});
afterEach(() => jest.useRealTimers());

describe('a dispatch under a newer revision', () => {
  it('should wait until the revision is applied, out of its own time', async () => {
    const wait = start();
    await advance(400);
    expect(wait).toEqual({});
    rules$.next({revision: 2});
    await advance(0);
    expect(wait).toEqual({remainingMs: DISPATCH.remainingMs - 400});
  });

  // An agent that is cut off never gets the rules. The entry needs the rest of
  // the time for other targets.
  it.each([
    [5_000, 1_000],
    [900, 300],
  ])('should wait with %i ms left for %i ms at most', async (leftMs, maxMs) => {
    const wait = start({remainingMs: leftMs});
    await advance(maxMs - 1);
    expect(wait).toEqual({});
    await advance(1);
    expect(wait).toEqual({remainingMs: leftMs - maxMs});
  });

  // A target that refuses anyway must do so at once, so that the entry tries
  // another one.
  it.each(['target-leaving', 'zone-out', 'rules-unproven'] as const)(
    'should not wait at an agent that refuses with %s anyway',
    async reason => {
      otherReason = reason;
      const wait = start();
      await advance(0);
      expect(wait).toEqual({remainingMs: DISPATCH.remainingMs});
    }
  );

  // The gate would not notice a cancellation before its own wait, and would run
  // a request whose caller has gone.
  it('should refuse a dispatch whose caller goes away meanwhile', async () => {
    const wait = start();
    caller.cancel();
    await advance(1_000);
    expect(wait.err).toMatchObject({refusal: {reason: 'deadline-passed'}});
  });
});
