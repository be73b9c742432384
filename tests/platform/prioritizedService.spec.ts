import type {Handler} from './gatewayFixture';
import {GatewayFixture} from './gatewayFixture';

const OK: Handler = (_req, res) => res.end('answer');
/** Sends one event and breaks; the rest to a caller that resumes. */
const BREAKS_ONCE: Handler = (req, res) => {
  res.writeHead(200, {'content-type': 'text/event-stream'});
  if (req.headers['last-event-id'] !== undefined) {
    res.end('id: 2\ndata: piece 2\n\n');
    return;
  }
  res.write('id: 1\ndata: piece 1\n\n', () => req.socket.destroy());
};

describe('a prioritized service', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const start = (handlers: readonly Handler[], ratio: number) =>
    GatewayFixture.start(
      handlers,
      {},
      {
        oncePriority: 0,
        grant: {
          admission: [{urgency: '1/1', ratio, customers: {}}],
          boundBy: 'passes',
        },
      }
    );
  const prompt = (id: string) => ({
    'x-prompt-prefix': `shared:100,${id}:20`,
    'x-token-count': '120,50',
    'x-deadline-remaining': '1800',
  });

  // Guards against refusals after a wait in the queue, and against demand that the
  // leader does not see. Nothing runs, and the connection stays in step.
  it('should refuse at arrival what the ratio does not admit', async () => {
    fixture = await start([OK], 0);
    const refused = await fixture.call('/stream/x', prompt('p'));
    expect(refused.status).toBe(503);
    const retryAfterS = Number(refused.headers['retry-after']);
    expect(retryAfterS).toBeGreaterThan(0.5);
    expect(retryAfterS).toBeLessThanOrEqual(0.6);
    expect(fixture.receivedRequests).toHaveLength(0);
    const served = await fixture.call('/once/x', prompt('q'));
    expect(served.status).toBe(200);
    expect(fixture.takeLoads()).toMatchObject([
      {
        arrivals: 2,
        demand: [
          {urgency: '1/1', customer: 'one', arrivals: 1, work: 62},
          {urgency: '0/0', customer: 'one', arrivals: 1, work: 62},
        ],
        waitingByUrgency: {},
      },
    ]);
    expect(fixture.log.events('request.refused')).toMatchObject([
      {
        ...{refusedBy: 'ratio', urgency: '1/1', customer: 'one', ratio: 0},
        ...{boundBy: 'passes', grantAgeMs: expect.any(Number)},
      },
    ]);
    const metrics = await fixture.metricsText();
    expect(metrics).toContain(
      'marlpulley_admission_total{service="s",urgency="1/1",outcome="refused_by_ratio"} 1'
    );
    expect(metrics).toContain(
      'marlpulley_admission_ratio{service="s",urgency="0/0"} 1'
    );
  });

  // Guards against a target that orders requests by what callers claim, and against
  // a resumed stream that loses its place.
  it('should tell targets the urgency, also of resumed streams', async () => {
    fixture = await start([BREAKS_ONCE, BREAKS_ONCE], 1);
    const claimed = {'x-request-urgency': '0'};
    const answer = await fixture.call('/stream/x', claimed);
    expect(answer.body).toContain('piece 2');
    await fixture.call('/once/x', {'x-request-urgency': '7'});
    const sent = fixture.receivedRequests.map(
      ({headers}) => headers['x-request-urgency']
    );
    expect(sent).toEqual(['1', '1', '0']);
  });

  // Guards against work that follows false hints: these streams have two events.
  it('should correct the length hints by the streams that ended', async () => {
    fixture = await start([BREAKS_ONCE, BREAKS_ONCE], 1);
    const hints = {'x-token-count': '0,100', 'x-length-hint': '40'};
    for (let i = 0; i < 2; i++) await fixture.call('/stream/x', hints);
    const work = fixture.takeLoads()[0]?.demand?.[0]?.work;
    expect(work).toBeCloseTo(40 + 40 * (1 - 0.05 * 0.75));
  });

  it('should be the only one whose urgency is sent', async () => {
    fixture = await GatewayFixture.start([OK]);
    await fixture.call('/once/x', {'x-request-urgency': '7'});
    await fixture.call('/once/x');
    const sent = fixture.receivedRequests.map(
      ({headers}) => headers['x-request-urgency']
    );
    expect(sent).toEqual(['7', undefined]);
    expect(fixture.takeLoads()[0]).not.toHaveProperty('demand');
    expect(await fixture.metricsText()).not.toContain(
      'marlpulley_admission_total{'
    );
  });
});
