import type {IncomingMessage} from 'node:http';
import {Attempts} from '../src/entry/attempts';
import type {ClassifiedCall} from '../src/entry/call';
import type {CallerResume} from '../src/entry/chat/chatRequest';
import {dispatchAttempt} from '../src/entry/dispatchAttempt';
import type {EntryCore} from '../src/entry/entryCore';
import {RetryBudgets} from '../src/entry/retryBudgets';
import {TargetLoad} from '../src/entry/targetLoad';
import {ZoneReturns} from '../src/entry/zoneReturns';
import {createLogger} from '../src/core/logger';
import {Metrics} from '../src/core/metrics';
import {CallContext} from '../src/core/callContext';
import {RefusalError, RefusalReason} from '../src/core/refusal';
import {TargetDirectory} from '../src/sync/targetDirectory';
import {buildAnnouncement, applyAnnouncements} from './fixtures/announcements';

jest.mock('../src/entry/dispatchAttempt', () => ({
  ...jest.requireActual('../src/entry/dispatchAttempt'),
  dispatchAttempt: jest.fn(),
}));

const logger = createLogger('test', 'test', 'fatal');

function coreOf(count: number): EntryCore {
  const directory = new TargetDirectory();
  const targets = Array.from({length: count}, (_, i) =>
    buildAnnouncement({targetId: `ledger-${i}`, pool: 'allocation'})
  );
  applyAnnouncements(directory, 'control-0', targets);
  return {
    entryId: 'entry-0',
    availabilityZone: 'zone-a',
    sync: {directory},
    load: new TargetLoad(),
    retryBudgets: new RetryBudgets(),
    zoneReturns: new ZoneReturns(),
    metrics: new Metrics('entry-0'),
    logger,
    random: () => 0.5,
  } as unknown as EntryCore;
}

function callOf(change: Partial<ClassifiedCall> = {}): ClassifiedCall {
  return {
    pool: 'allocation',
    rules: {isZoneOut: () => false},
    limit: {timeoutMs: 5_000, attempts: 3, retryBudgetPercent: 100},
    body: {kind: 'none'},
    progress: new CallContext('request', performance.now() + 5_000, 'entry-0'),
    ...change,
  } as ClassifiedCall;
}

/** Mocks the outcomes of successive attempts; a reason stands for a refusal. */
function play(...outcomes: readonly (RefusalReason | 'answered')[]) {
  let next = 0;
  return jest.mocked(dispatchAttempt).mockImplementation(async () => {
    const reason = outcomes[next++] ?? 'answered';
    if (reason !== 'answered') {
      const refusal = {reason, step: 'gate', peer: 'p', detail: ''} as const;
      return {kind: 'refused', refusal};
    }
    const answer = {} as IncomingMessage;
    return {kind: 'answered', answer, report: {} as never};
  });
}

async function refusalOf(attempts: Attempts): Promise<string> {
  try {
    await attempts.run();
    return 'answered';
  } catch (err) {
    if (err instanceof RefusalError) return err.refusal.reason;
    throw err;
  }
}

afterEach(() => jest.mocked(dispatchAttempt).mockReset());

describe('attempts of one call', () => {
  // The first attempt is lost and may have run; the others are refused before
  // they run. The "not run" of the last one would be false for the first.
  it('should not say "not run" after an attempt was lost', async () => {
    play('outcome-unknown', 'zone-out', 'zone-out');
    const attempts = new Attempts(coreOf(3), callOf());
    expect(await refusalOf(attempts)).toBe('outcome-unknown');
  });

  it('should say "not run" when every attempt was refused', async () => {
    play('zone-out', 'zone-out');
    const attempts = new Attempts(coreOf(2), callOf());
    expect(await refusalOf(attempts)).toBe('zone-out');
  });

  it('should not say "not run" after an answer was lost', async () => {
    play('answered', 'zone-out');
    const attempts = new Attempts(coreOf(2), callOf());
    expect(await refusalOf(attempts)).toBe('answered');
    expect(await refusalOf(attempts)).toBe('outcome-unknown');
  });

  // A non-idempotent call without a key is lost. A retry could run it a second
  // time.
  it('should not repeat a call that is not idempotent', async () => {
    const sent = play('outcome-unknown');
    const once = {kind: 'once'} as unknown as ClassifiedCall['once'];
    const attempts = new Attempts(coreOf(2), callOf({once}));
    expect(await refusalOf(attempts)).toBe('outcome-unknown');
    expect(sent).toHaveBeenCalledTimes(1);
  });

  it('should not retry a call whose body was streamed', async () => {
    const sent = play('zone-out');
    const body = {kind: 'streaming'} as const;
    const attempts = new Attempts(coreOf(2), callOf({body}));
    expect(await refusalOf(attempts)).toBe('zone-out');
    expect(sent).toHaveBeenCalledTimes(1);
  });

  // A stream stalls, and the target that should resume it sends neither a
  // response nor an error. Without a timeout for the resumption, it would use
  // up the time of the call, and the third target, which could resume, would
  // never be tried.
  it('should go on elsewhere when a resumption gets no answer', async () => {
    jest.useFakeTimers();
    const sent = play('answered');
    const attempts = new Attempts(coreOf(3), callOf());
    await attempts.run();
    sent.mockImplementationOnce(
      (_core, _call, {signal}) =>
        new Promise(resolve => {
          const reason = 'outcome-unknown';
          const refusal = {
            reason,
            step: 'gate',
            peer: 'p',
            detail: '',
          } as const;
          const lost = () => resolve({kind: 'refused', refusal});
          signal.addEventListener('abort', lost);
        })
    );
    const resumed = attempts.run({fromToken: 7} as CallerResume);
    await jest.advanceTimersByTimeAsync(2_600);
    expect(sent).toHaveBeenCalledTimes(3);
    await resumed;
    jest.useRealTimers();
  });

  it('should make no more attempts than the limit', async () => {
    const sent = play(...Array<RefusalReason>(5).fill('overloaded'));
    expect(await refusalOf(new Attempts(coreOf(5), callOf()))).toBe(
      'overloaded'
    );
    expect(sent).toHaveBeenCalledTimes(3);
  });
});
