import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {AdmissionGate} from '../src/policy/admission/admissionGate';
import type {ReturnState} from '../src/policy/admission/refusedRequests';

const URGENCY = {customer: 1, route: 0};
const NEW: ReturnState = {kind: 'new'};
const DUE: ReturnState = {kind: 'due'};

function createGate(ratio: number, customers: Record<string, number> = {}) {
  const generator = xorshift128plus(7);
  const gate = new AdmissionGate(() => uniformFloat64(generator));
  gate.setRatios([{urgency: '1/0', ratio, customers}]);
  let nowMs = 0;
  const admits = (returned = NEW, customer = 'a', staleMs = 0) =>
    gate.decide({urgency: URGENCY, customer}, returned, staleMs, (nowMs += 10))
      .isAdmitted;
  const countAdmitted = (arrivals: number, customer = 'a', staleMs = 0) =>
    Array.from({length: arrivals}, () => admits(NEW, customer, staleMs)).filter(
      Boolean
    ).length;
  return {gate, admits, countAdmitted};
}

describe('admission by ratio', () => {
  it.each([0, 0.1, 0.4, 0.73, 1])('should admit the part %d', ratio => {
    const admitted = createGate(ratio).countAdmitted(1_000);
    expect(Math.abs(admitted - 1_000 * ratio)).toBeLessThanOrEqual(1);
  });

  // Guards against a caller that chance refuses many times in a row.
  it('should never refuse more in a row than the ratio says', () => {
    const {admits} = createGate(0.4);
    const letters = Array.from({length: 500}, () => (admits() ? 'a' : 'r'));
    expect(letters.join('')).not.toMatch('rrr');
  });

  // Guards against nodes with one arrival each that all refuse it.
  it('should start at random on each node', () => {
    const random = xorshift128plus(3);
    const admitted = Array.from({length: 300}, () => {
      const gate = new AdmissionGate(() => uniformFloat64(random));
      gate.setRatios([{urgency: '1/0', ratio: 0.5, customers: {}}]);
      const arrival = {urgency: URGENCY, customer: 'a'};
      return gate.decide(arrival, NEW, 0, 0).isAdmitted;
    }).filter(Boolean);
    expect(Math.abs(admitted.length - 150)).toBeLessThan(30);
  });

  // Guards against a customer that floods and lowers what others get. The names are
  // those of Object methods, which a plain record would find for any customer.
  it('should apply the ratio of a customer to that customer alone', () => {
    const {countAdmitted} = createGate(1, {constructor: 0.1});
    expect(countAdmitted(100, 'constructor')).toBeLessThan(12);
    expect(countAdmitted(100, 'toString')).toBe(100);
  });

  it('should admit everything of an urgency without a ratio', () => {
    const {gate, countAdmitted} = createGate(0.1);
    gate.setRatios([]);
    expect(countAdmitted(100)).toBe(100);
  });

  // Guards against a node that sheds its requests for as long as it has no leader.
  it('should halve the distance to 1 every 2 s without a fresh grant', () => {
    const {gate, countAdmitted} = createGate(0.2);
    expect(gate.ratios(0).get('1/0')).toBeCloseTo(0.2);
    expect(gate.ratios(2_000).get('1/0')).toBeCloseTo(0.6);
    expect(gate.ratios(4_000).get('1/0')).toBeCloseTo(0.8);
    expect(countAdmitted(100, 'a', 4_000)).toBeGreaterThanOrEqual(79);
  });

  // Guards against NaN in the credit, which would refuse everything from then on.
  it('should admit everything at a ratio that is not a number', () => {
    const {countAdmitted} = createGate(NaN);
    expect(countAdmitted(100)).toBe(100);
  });
});

describe('requests that return as told', () => {
  // Guards against callers who are refused again as equals of new requests.
  it('should go before new requests, from the same credit', () => {
    const {admits} = createGate(0.3);
    let returns = 0;
    let others = 0;
    for (let i = 0; i < 400; i++) {
      if (i % 4 === 0) returns += Number(admits(DUE));
      else others += Number(admits());
    }
    expect(returns).toBe(100);
    expect(Math.abs(others - 20)).toBeLessThan(4);
  });

  // Guards against prompt ids that are sent again and again to get around the ratio.
  it('should be admitted no more than the ratio allows for long', () => {
    const {admits} = createGate(0.2);
    const admitted = Array.from({length: 1_000}, () => admits(DUE));
    expect(admitted.filter(Boolean).length).toBeLessThan(240);
  });

  it('should not be admitted while their urgency is closed', () => {
    expect(createGate(0).admits(DUE)).toBe(false);
  });
});
