import {NodeAdmission} from '../src/policy/admission/nodeAdmission';

const HALF = () => 0.5;

function createNode(ratio: number, freshForMs = 1_000) {
  const node = new NodeAdmission(HALF);
  node.applyGrant([{urgency: '1/0', ratio, customers: {}}], freshForMs, 0);
  const request = (promptId?: string, customer = 'a', work = 50) => ({
    urgency: {customer: 1, route: 0},
    customer,
    promptId,
    work,
    remainingMs: 8_000,
    freedPerSecond: 100,
  });
  const arrive = (promptId?: string, nowMs = 0, customer = 'a') =>
    node.arrive(request(promptId, customer), nowMs);
  return {node, request, arrive};
}

describe('admission at a node', () => {
  it('should recognize a request that returns as told', () => {
    const {arrive} = createNode(0.01);
    expect(arrive('p')).toMatchObject({kind: 'refused', retryInMs: 700});
    expect(arrive('q', 700).kind).toBe('refused');
    expect(arrive('p', 700)).toMatchObject({isReturning: true});
  });

  // Guards against callers who hammer: each early return would be one more chance.
  it('should refuse a request that returns early, and keep its time', () => {
    const {arrive} = createNode(0.01);
    const refused = arrive('p');
    const dueAtMs = refused.kind === 'refused' ? refused.retryInMs : NaN;
    for (let i = 0; i < 50; i++)
      expect(arrive('p', dueAtMs - 450)).toMatchObject({retryInMs: 450});
    expect(arrive('p', dueAtMs).kind).toBe('admitted');
  });

  // Guards against a caller that takes the place of another by a guessed prompt id.
  it("should not recognize another customer's prompt id", () => {
    const {arrive} = createNode(0.01, 10_000);
    arrive('p');
    expect(arrive('p', 3_000, 'b').kind).toBe('refused');
  });

  // Guards against demand that vanishes from the reports because it was refused.
  it('should count the work of all arrivals, also of those refused', () => {
    const {node, request} = createNode(0.3);
    for (let i = 0; i < 9; i++) node.arrive(request(`p${i}`), 0);
    for (const work of [NaN, -1, 0]) node.arrive(request('x', 'b', work), 0);
    expect(node.takeDemand()).toEqual([
      {urgency: '1/0', customer: 'a', arrivals: 9, work: 450},
      {urgency: '1/0', customer: 'b', arrivals: 3, work: 3},
    ]);
    expect(node.takeDemand()).toEqual([]);
  });

  it('should keep the ratio while the grant is fresh', () => {
    const {node} = createNode(0.5);
    expect(node.ratios(1_000).get('1/0')).toBe(0.5);
    expect(node.ratios(3_000).get('1/0')).toBe(0.75);
  });

  // Guards against quick retries during an overload that the leader does not know yet.
  it('should tell a quick retry only after a momentary refusal by the queue', () => {
    const {node, request} = createNode(1);
    for (let i = 0; i < 50; i++) node.arrive(request(`p${i}`), i * 20);
    const first = node.refuseInQueue(request('p1'), 1_000);
    expect(first).toBeGreaterThanOrEqual(120);
    expect(first).toBeLessThan(300);
    for (let i = 0; i < 20; i++) node.refuseInQueue(request(`p${i}`), 1_000);
    expect(node.refuseInQueue(request('p2'), 1_000)).toBeGreaterThan(700);
  });

  // Guards against callers who hammer: one that the queue refused was due at once,
  // and so went before all others.
  it('should refuse a request that returns early after a refusal by the queue', () => {
    const {node, request, arrive} = createNode(0.01);
    const toldMs = node.refuseInQueue(request('p'), 0);
    expect(arrive('p', 10)).toMatchObject({retryInMs: toldMs - 10});
    expect(arrive('p', toldMs)).toMatchObject({isReturning: true});
  });

  // Guards against refusing callers who cannot wait as long as told.
  it('should expect a caller with little time left sooner', () => {
    const {node, request, arrive} = createNode(0.01);
    node.refuseInQueue({...request('p'), remainingMs: 300}, 0);
    expect(arrive('p', 100)).toMatchObject({isReturning: true});
  });

  // Guards against callers who all return after 0.7 s during an overload that the
  // leader does not know yet: everything is admitted, and slots are few.
  it('should tell returns at the rate of slots that become free', () => {
    const {node, request} = createNode(1);
    for (let i = 0; i < 100; i++) node.arrive(request(), 0);
    const few = {...request(), freedPerSecond: 10};
    const told = Array.from({length: 15}, () => node.refuseInQueue(few, 0));
    expect((told[14] ?? 0) - (told[13] ?? 0)).toBeCloseTo(1_000 / 9);
  });
});
