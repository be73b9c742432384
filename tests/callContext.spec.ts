import {CallContext} from '../src/core/callContext';
import {RefusalError} from '../src/core/refusal';

const TIMEOUT_MS = 30_000;

describe('call context', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // A long stream loses its target after more than the pool's timeout. With the
  // deadline of its first token still in effect, no other target would be tried
  // and the stream would end, although another could resume it.
  it('should give a resumed stream a new deadline', () => {
    const progress = new CallContext(
      'r',
      performance.now() + TIMEOUT_MS,
      'entry-1'
    );
    jest.advanceTimersByTime(TIMEOUT_MS + 1);
    expect(() => progress.assertBeforeDeadline('route')).toThrow(RefusalError);
    progress.renewDeadline(TIMEOUT_MS);
    expect(progress.remainingMs()).toBe(TIMEOUT_MS);
    expect(() => progress.assertBeforeDeadline('route')).not.toThrow();
    expect(progress.signal.aborted).toBe(false);
  });
});
