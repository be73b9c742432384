import {SeededRandom} from '../bench/fuzz/schedule';
import {AdmissionWorld, type Caller} from '../bench/fuzz/admissionWorld';
import {
  ratioAtLevel,
  waterLevel,
  type CustomerWork,
} from '../src/policy/admission/customerShares';

function admitted(budget: number, customers: readonly CustomerWork[]) {
  const level = waterLevel(budget, customers);
  return customers.map(
    customer => customer.work * ratioAtLevel(level, customer)
  );
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

describe('shares of customers', () => {
  it('should serve all when the budget suffices', () => {
    expect(waterLevel(60, [{work: 10}, {work: 50}])).toBe(Infinity);
  });

  it('should leave what small customers do not use to the others', () => {
    const works = [{work: 10}, {work: 500}, {work: 50}];
    expect(admitted(100, works)).toEqual([10, 45, 45]);
  });

  it('should divide by weight', () => {
    const works = [
      {work: 300, weight: 2},
      {work: 300, weight: 1},
    ];
    expect(admitted(90, works)).toEqual([60, 30]);
  });

  // A share of 0 or a count that is not a number made NaN, which no comparison
  // refuses, so that the customer was admitted whole or not at all.
  it('should use the default weight in place of one that cannot be right', () => {
    const weights = [0, -1, NaN, Infinity];
    const works = weights.map(weight => ({work: 50, weight}));
    expect(admitted(100, works)).toEqual([25, 25, 25, 25]);
    expect(ratioAtLevel(waterLevel(1, [{work: NaN}]), {work: NaN})).toBe(1);
    expect(ratioAtLevel(waterLevel(0, [{work: 5}]), {work: 5})).toBe(0);
  });

  it('should use the budget, and refuse no customer below the level', () => {
    const random = new SeededRandom(7);
    for (let run = 0; run < 500; run++) {
      const customers = Array.from({length: random.int(1, 40)}, () => ({
        work: random.int(0, 1_000),
        weight: random.int(1, 4),
      }));
      const budget = random.int(0, 10_000);
      const parts = admitted(budget, customers);
      const asked = total(customers.map(({work}) => work));
      expect(total(parts)).toBeCloseTo(Math.min(budget, asked), 5);
      const level = waterLevel(budget, customers);
      customers.forEach(({work, weight}, i) =>
        expect(parts[i]).toBeCloseTo(Math.min(work, level * weight), 5)
      );
    }
  });
});

const CALM = {perSecond: 100, work: 50};

/** Ten customers, of which c0 may flood; the capacity serves what they ask for. */
function tenCustomers(): Caller[] {
  return Array.from({length: 10}, (_, i) => {
    return {urgency: '1/1', customer: `c${i}`, ...CALM};
  });
}

/** Work per second that was admitted of each customer since `fromMs`. */
function workByCustomer(world: AdmissionWorld, fromMs: number) {
  const work = new Map<string, number>();
  for (const {atMs, caller, work: cost, isAdmitted} of world.arrivals)
    if (isAdmitted && atMs > fromMs)
      work.set(caller.customer, (work.get(caller.customer) ?? 0) + cost);
  const seconds = (world.now - fromMs) / 1_000;
  return (customer: string) => (work.get(customer) ?? 0) / seconds;
}

describe.each([14, 60, 300])('customers at %d nodes', nodes => {
  const fixture = (perSecond: number) => {
    const callers = tenCustomers();
    const world = new AdmissionWorld(
      {nodes, capacity: () => perSecond * 2, callers, floor: 0.4, loss: 0.1},
      new SeededRandom(nodes)
    );
    return {world, callers};
  };

  // One customer sends ten times its share. Without shares all customers of its
  // urgency are refused in the same proportion.
  it('should keep a customer within its share while another floods', () => {
    const {world, callers} = fixture(1_250);
    world.run(3_000);
    callers[0]!.perSecond *= 10;
    const fromMs = world.now;
    world.run(6_000);
    const others = world.arrivals.filter(
      ({atMs, caller}) => atMs > fromMs && caller.customer !== 'c0'
    );
    const refused = others.filter(({isAdmitted}) => !isAdmitted);
    expect(refused.length / others.length).toBeLessThan(0.02);
    const work = workByCustomer(world, fromMs + 3_000);
    const left = 1_250 * CALM.work - 9 * CALM.perSecond * CALM.work;
    expect(work('c0') / left).toBeLessThan(1.1);
  });

  // At a few requests per second the rate of half a second exceeds the share by chance:
  // 4 in 100 requests of customers within their share were refused.
  it('should keep customers of few requests that are within their share', () => {
    const {world, callers} = fixture(5 * 4 + 5 * 6);
    callers.forEach((caller, i) => {
      caller.perSecond = i < 5 ? 4 : 18;
    });
    world.run(8_000);
    const fromMs = world.now;
    world.run(40_000);
    const small = world.arrivals.filter(
      ({atMs, caller}) => atMs > fromMs && caller.perSecond === 4
    );
    const refused = small.filter(({isAdmitted}) => !isAdmitted);
    expect(refused.length / small.length).toBeLessThan(0.02);
  });

  it('should divide the work with an error of at most 2%', () => {
    // With fewer requests the sizes of the admitted ones differ more by chance.
    const {world, callers} = fixture(4_000);
    callers.forEach((caller, i) => {
      caller.perSecond = 600 + 160 * i;
    });
    world.run(4_000);
    const fromMs = world.now;
    world.run(20_000);
    const work = workByCustomer(world, fromMs);
    const parts = callers.map(({customer}) => work(customer));
    const mean = total(parts) / parts.length;
    for (const part of parts)
      expect(Math.abs(part / mean - 1)).toBeLessThan(0.02);
  });
});
