import {decodeSite} from '../../platform/siteDocument';

const SERVICE = {name: 'llm', healthPath: '/health', maxConnections: 10};
const ROUTE = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/x/',
  kind: 'idempotent',
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  priority: 1,
  service: 'llm',
  maxAttempts: 2,
};
const TENANTS = [
  {name: 'one', apiKeys: ['k1']},
  {name: 'two', apiKeys: ['k2']},
];

function text(change: Record<string, unknown> = {}): string {
  const document = {
    version: 3,
    routes: [ROUTE],
    services: [SERVICE],
    tenants: TENANTS,
    ...change,
  };
  return JSON.stringify(document);
}

describe('site document of the platform', () => {
  it('should decode routes, services, limits and customers', () => {
    const decoded = decodeSite(text());
    if (!decoded.ok) throw new Error(decoded.problem);
    const {site} = decoded;
    expect(site.version).toBe(3);
    expect(site.routes[0]).toMatchObject({
      repeat: 'idempotent',
      timeoutMs: 1_000,
      latencyTargetMs: 100,
      split: [{service: 'llm', weight: 1}],
      isPublic: false,
    });
    expect(site.customers.map(({name}) => name)).toEqual(['one', 'two']);
    expect(site.limits.idleTimeoutMs).toBe(15_000);
  });

  it('should run requests of an unknown kind at most once', () => {
    const decoded = decodeSite(text({routes: [{...ROUTE, kind: 'new'}]}));
    expect(decoded.ok && decoded.site.routes[0]?.repeat).toBe('once');
  });

  it('should compute the copy time of an expert from its size and the link', () => {
    const engine = {slots: 8, expertMb: 2_200, linkMbps: 180_000};
    const decoded = decodeSite(text({services: [{...SERVICE, engine}]}));
    if (!decoded.ok) throw new Error(decoded.problem);
    const copyMs = decoded.site.services.get('llm')?.engine?.expertCopyMs;
    expect(copyMs).toBeCloseTo(97.8, 1);
  });

  it.each([
    ['truncated text', text().slice(0, -9)],
    ['not an object', '[]'],
    ['no version', text({version: undefined})],
    ['a fractional version', text({version: 1.5})],
    ['an unknown service', text({routes: [{...ROUTE, service: 'none'}]})],
    [
      'an unknown service beside a split',
      text({
        routes: [
          {
            ...ROUTE,
            service: 'none',
            trafficSplit: [{service: 'llm', weight: 1}],
          },
        ],
      }),
    ],
    ['no service at all', text({routes: [{...ROUTE, service: undefined}]})],
    [
      'weights of 0',
      text({
        routes: [{...ROUTE, trafficSplit: [{service: 'llm', weight: 0}]}],
      }),
    ],
    [
      'two routes for one host and prefix',
      text({routes: [ROUTE, {...ROUTE, name: 'other'}]}),
    ],
    ['a timeout of 0', text({routes: [{...ROUTE, timeoutMs: 0}]})],
    [
      'a shared key',
      text({tenants: [...TENANTS, {name: 'three', apiKeys: ['k1']}]}),
    ],
  ])('should refuse a document with %s', (_what, body) => {
    expect(decodeSite(body).ok).toBe(false);
  });
});
