import type {LookupResult} from '../src/core/claims';
import {OnceAction, OnceMachine} from '../src/entry/onceMachine';

const ANSWER = {status: 201, headers: [], bodyBase64: 'e30='};
const PENDING = {
  kind: 'pending',
  attempt: 1,
  entryId: 'entry-2',
  targetId: 'ledger-1',
  agentBootId: 'boot-1',
} as const;

describe('a call with a key when no target takes new work', () => {
  // The first request with the key ran, but its response was lost. Then the
  // zone goes out of service, and the resend finds no target. Told "not run",
  // the caller would run the work again with a new key, so the record of the
  // key is read first.
  it.each<[LookupResult, OnceAction['kind'], string | undefined]>([
    [{kind: 'recorded', answer: ANSWER}, 'answer', undefined],
    [{kind: 'unknown'}, 'refuse', 'outcome-unknown'],
    [PENDING, 'wait', undefined],
    [{kind: 'none'}, 'refuse', 'no-target'],
  ])('should follow the record of the key, %j', (result, kind, reason) => {
    const machine = new OnceMachine('entry-1', 3);
    machine.start();
    expect(machine.next({kind: 'no target', detail: 'none'})).toEqual({
      kind: 'lookup',
    });
    const action = machine.next({kind: 'looked up', result, nowMs: 0});
    expect(action.kind).toBe(kind);
    if (action.kind === 'refuse') expect(action.refusal.reason).toBe(reason);
  });
});
