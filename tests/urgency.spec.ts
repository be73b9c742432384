import {
  compareUrgency,
  parseUrgency,
  urgencyKey,
  urgencyOf,
} from '../src/policy/admission/urgency';
import {prioritizedServices} from '../src/site/prioritizedServices';
import type {Site, SiteRoute} from '../src/site/site';

describe('urgency', () => {
  // When the priority of a customer replaced that of the route, the requests of
  // most customers had the same priority, and no kind of request went first.
  it('should order the routes of customers with the same priority', () => {
    const claim = urgencyOf(0, 1);
    const draft = urgencyOf(2, 1);
    expect(compareUrgency(claim, draft)).toBeLessThan(0);
  });

  it('should compare the priorities of customers first', () => {
    expect(compareUrgency(urgencyOf(2, 0), urgencyOf(0, 1))).toBeLessThan(0);
  });

  it('should use the priority of the route for a customer without one', () => {
    expect(urgencyOf(2, undefined)).toEqual({customer: 2, route: 2});
  });

  it('should read what it writes and nothing else', () => {
    expect(parseUrgency(urgencyKey({customer: 1, route: 12}))).toEqual({
      customer: 1,
      route: 12,
    });
    for (const key of ['', '1', '1/', '-1/2', '1/2/3', 'a/b'])
      expect(parseUrgency(key)).toBeUndefined();
  });
});

describe('prioritized services', () => {
  function route(service: string, priority: number): SiteRoute {
    return {
      name: `${service}-${priority}`,
      host: 'h',
      pathPrefix: `/${service}/${priority}/`,
      repeat: 'idempotent',
      resumable: false,
      timeoutMs: 1_000,
      latencyTargetMs: 100,
      gapTargetMs: 0,
      priority,
      split: [{service, weight: 1}],
      maxAttempts: 1,
      isPublic: false,
    };
  }

  it('should be those whose routes differ in priority', () => {
    const site: Site = {
      version: 1,
      routes: [route('m', 0), route('m', 2), route('p', 1), route('p', 1)],
      services: new Map(),
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
      customers: [],
    };
    expect([...prioritizedServices(site)]).toEqual(['m']);
  });
});
