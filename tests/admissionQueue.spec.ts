import {AdmissionQueue} from '../src/policy/admission/admissionQueue';

interface Outcome {
  readonly id: string;
  readonly kind: 'started' | 'refused';
}

function fixture(limit: number) {
  const queue = new AdmissionQueue();
  const outcomes: Outcome[] = [];
  queue.setLimit(limit);
  const enter = (id: string, priority = 1, maxWaitMs = 200, nowMs = 0) =>
    queue.enter(
      {
        urgency: {customer: priority, route: priority},
        maxWaitMs,
        start: () => outcomes.push({id, kind: 'started'}),
        refuse: () => outcomes.push({id, kind: 'refused'}),
      },
      nowMs
    );
  return {queue, outcomes, enter};
}

describe('admission queue', () => {
  it('should start requests while slots are free', () => {
    const {outcomes, enter} = fixture(2);
    enter('a');
    enter('b');
    expect(outcomes.map(({kind}) => kind)).toEqual(['started', 'started']);
  });

  // Burst of twice the capacity: a request that would start too late for its
  // latency target must be refused at once, not after it has waited in vain.
  it('should refuse a request at once when its expected wait is too long', () => {
    const {outcomes, enter, queue} = fixture(10);
    for (let i = 0; i < 30; i++) enter(`r${i}`);
    // With 10 slots and 1 s of service, a slot becomes free every 100 ms, so two
    // requests can start within their 200 ms.
    expect(queue.waitingCount).toBe(2);
    expect(outcomes.filter(({kind}) => kind === 'refused')).toHaveLength(18);
  });

  it('should start more urgent requests first, then by arrival', () => {
    const {outcomes, enter, queue} = fixture(1);
    enter('running', 1, 5_000);
    enter('late', 2, 5_000);
    enter('urgent', 0, 5_000);
    enter('next', 2, 5_000);
    for (let i = 0; i < 3; i++) queue.leave(1_000);
    const started = outcomes.map(({id}) => id);
    expect(started).toEqual(['running', 'urgent', 'late', 'next']);
  });

  // The estimated wait may be too short: streams may hold slots longer than usual.
  it('should refuse a queued request after its longest wait', () => {
    const {outcomes, enter, queue} = fixture(1);
    enter('running', 1, 5_000, 0);
    enter('waits', 1, 2_500, 0);
    queue.expire(2_000);
    expect(outcomes).toHaveLength(1);
    queue.expire(2_500);
    expect(outcomes[1]).toEqual({id: 'waits', kind: 'refused'});
  });

  it('should not abort running requests when the limit shrinks', () => {
    const {enter, queue} = fixture(5);
    for (let i = 0; i < 5; i++) enter(`r${i}`);
    queue.setLimit(2);
    expect(queue.inFlight).toBe(5);
    queue.leave(500);
    enter('x', 1, 100_000);
    expect(queue.waitingCount).toBe(1);
  });

  // One node receives more callers than the others, which have free slots. It must
  // not refuse them, because the next report brings it those slots.
  it('should queue requests for slots that other nodes leave free', () => {
    const {outcomes, enter, queue} = fixture(2);
    queue.setLimit(2, 3);
    for (let i = 0; i < 7; i++) enter(`r${i}`);
    expect(queue.waitingCount).toBe(3);
    queue.setLimit(5, 0);
    const kinds = outcomes.map(({kind}) => kind);
    expect(kinds.filter(kind => kind === 'started')).toHaveLength(5);
    expect(kinds.filter(kind => kind === 'refused')).toHaveLength(2);
  });

  it('should refuse a request at once when it can’t wait for the next report', () => {
    const {outcomes, enter, queue} = fixture(1);
    queue.setLimit(1, 5);
    enter('a');
    enter('b', 1, 100);
    expect(outcomes[1]).toEqual({id: 'b', kind: 'refused'});
  });

  // Guards against a node with few slots that refuses what the admission ratio admitted
  // while the leader could move a slot there.
  it('should queue a few requests for slots that the leader moves', () => {
    const {queue} = fixture(0);
    const urgency = {customer: 1, route: 1};
    const refuse = jest.fn();
    const request = {urgency, borrowLimit: 2, start: jest.fn(), refuse};
    for (let i = 0; i < 3; i++) queue.enter({...request, maxWaitMs: 160}, 0);
    queue.enter({...request, maxWaitMs: 100}, 0);
    expect(queue.waitingByUrgency()).toEqual({'1/1': 2});
    expect(refuse).toHaveBeenCalledTimes(2);
  });

  // Guards against a report of half the service time for many seconds after a start,
  // by which the leader admitted half again as much as the capacity.
  it('should measure the service time from the first requests on', () => {
    const {queue, enter} = fixture(3);
    for (const id of ['a', 'b', 'c']) enter(id);
    for (const heldMs of [2_000, 3_000, 2_500]) queue.leave(heldMs);
    expect(queue.measuredServiceTimeMs).toBeCloseTo(2_500);
    expect(queue.freedPerSecond).toBeCloseTo(3 / 2.5);
  });

  // After a slow time the leader took the old service time for demand, and refused two
  // of three requests while most slots were free.
  it('should measure a service time that falls within a few requests', () => {
    const {queue, enter} = fixture(80);
    for (let i = 0; i < 80; i++) enter(`r${i}`);
    for (let i = 0; i < 60; i++) queue.leave(5_000);
    for (let i = 0; i < 15; i++) queue.leave(500);
    expect(queue.measuredServiceTimeMs).toBeLessThan(1_000);
  });
});
