import {RequestsInProgress} from '../src/gateway/requestsInProgress';
import type {RequestState} from '../src/gateway/requestState';

const ROUTE = 'r';

/** A request that has this time left, or lasted so long. */
function request(ms: number, stopped?: RequestState['stopped']): RequestState {
  const endForStop = jest.fn();
  const times = {remainingMs: ms, ageMs: ms};
  return {...times, stopped, endForStop} as unknown as RequestState;
}

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

// A request that outlasts the grace was passed on and cut at its end.
describe('requests during a planned stop', () => {
  function stopping(): RequestsInProgress {
    const requests = new RequestsInProgress();
    requests.beginStop(performance.now() + 1_000);
    return requests;
  }

  it('should all be taken before it', () => {
    const requests = new RequestsInProgress();
    expect(requests.canEndInTime(ROUTE, request(1e9))).toBe(true);
  });

  it('should be taken if their time limit ends before it', () => {
    const requests = stopping();
    expect(requests.canEndInTime(ROUTE, request(1_000))).toBe(true);
    expect(requests.canEndInTime(ROUTE, request(1_001))).toBe(false);
  });

  it('should be taken if all of their route ended in that time lately', () => {
    const requests = stopping();
    requests.recordDuration(ROUTE, request(700));
    expect(requests.canEndInTime(ROUTE, request(1e9))).toBe(true);
    jest.advanceTimersByTime(301);
    expect(requests.canEndInTime(ROUTE, request(1e9))).toBe(false);
    expect(requests.canEndInTime('other', request(1e9))).toBe(false);
  });

  it('should not be measured by those that were cancelled', () => {
    const requests = stopping();
    requests.recordDuration(ROUTE, request(5, 'callerGone'));
    expect(requests.canEndInTime(ROUTE, request(1e9))).toBe(false);
  });

  it('should remember the longest one for more than a window', () => {
    const requests = stopping();
    requests.recordDuration(ROUTE, request(2_000));
    for (let i = 0; i < 64; i++) requests.recordDuration(ROUTE, request(5));
    expect(requests.canEndInTime(ROUTE, request(1e9))).toBe(false);
    for (let i = 0; i < 64; i++) requests.recordDuration(ROUTE, request(5));
    expect(requests.canEndInTime(ROUTE, request(1e9))).toBe(true);
  });

  it('should be cancelled at its end, unless they have ended', () => {
    const requests = stopping();
    const [running, ended] = [request(1), request(1)];
    for (const state of [running, ended]) requests.add(state);
    requests.delete(ended);
    requests.endAll();
    expect(running.endForStop).toHaveBeenCalled();
    expect(ended.endForStop).not.toHaveBeenCalled();
  });
});
