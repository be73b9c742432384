import {EventEmitter} from 'node:events';
import {admitRequest} from '../src/gateway/admitRequest';
import {Gateway} from '../src/gateway/gateway';
import {RequestState} from '../src/gateway/requestState';
import {ServicePool} from '../src/gateway/servicePool';

describe('a request that ended while its body was read', () => {
  // Guards against requests that count as demand, use credit and wait in the queue
  // although nobody waits for them; Retry-After was 0 after the deadline.
  it('should not be admitted to a prioritized service', async () => {
    const parts = {
      bounds: {retries: {}},
      metrics: {admission: () => undefined},
    };
    const random = () => 0.5;
    const gateway = new Gateway({...parts, random, node: () => 0} as never);
    const admit = (state: RequestState) =>
      admitRequest(gateway, state, {
        route: {name: 'r', latencyTargetMs: 400},
        service: {name: 's'},
        urgency: {customer: 0, route: 0},
        urgencyRank: 0,
      } as never);
    jest.useFakeTimers();
    const caller = {promptTokens: 0, outputTokens: 9} as never;
    const [gone, late] = [new EventEmitter(), new EventEmitter()].map(
      res => new RequestState({} as never, res as never, caller)
    );
    gone!.res.emit('close');
    late!.startDeadline(5);
    jest.advanceTimersByTime(5);
    jest.useRealTimers();
    expect(await admit(gone!)).toBeUndefined();
    expect(await admit(late!)).toEqual({kind: 'overloaded', retryInMs: 150});
    const load = gateway.pool('s').takeLoad(true);
    expect(load).toMatchObject({inFlight: 0, waiting: 0, demand: []});
  });
});

// Guards against old arrivals that count as those of one report period once the
// routes differ in priority again.
it('should drop the demand of a service that is not prioritized', () => {
  const bounds = {nodeId: 'n', coldMultiplier: 1, coldSlack: 0};
  const pool = new ServicePool('s', {...bounds, retries: {} as never});
  const request = {urgency: {customer: 0, route: 0}, customer: '', work: 1};
  pool.admission.arrive({...request, remainingMs: 1, freedPerSecond: 1}, 0);
  expect(pool.takeLoad(false)).not.toHaveProperty('demand');
  expect(pool.takeLoad(true)).toMatchObject({demand: []});
});
