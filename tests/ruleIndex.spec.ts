import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';

const TEXT = `revision 7 # asked by Una
pool planner engine # asked by Una
pool spare engine # asked by Una
pool ledger service # asked by Una
customer harbour share=4 concurrent=9 # asked by Una
customer depot share=1 # asked by Una
route customer=any path=/ pool=planner # asked by Una
route customer=any path=/v1/ pool=planner weight=3 # asked by Una
route customer=any path=/v1/ pool=spare weight=1 # asked by Una
route customer=any path=/v1/x pool=spare # asked by Una
route customer=any path=/v1/x pool=ledger weight=0 # asked by Una
route customer=harbour path=/v1 pool=ledger # asked by Una
once POST / key=optional # asked by Una
once POST /assign key=required # asked by Una
limit spare attempts=1 # asked by Una
zone zone-a in # asked by Una
zone zone-b out # asked by Una
rebalance planner on gain=2% # asked by Una
rebalance spare off # asked by Una
`;

function weightedPools(index: RuleIndex, customer: string, path: string) {
  return index
    .routes(customer, path)
    .map(({pool, weight}) => `${pool}:${weight}`);
}

describe('rule lookups', () => {
  const parsed = parseRules(TEXT);
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.problems));
  const index = new RuleIndex(parsed.ruleSet);

  it.each([
    ['depot', '/status', ['planner:100']],
    ['depot', '/v1/chat?x=/v1/x', ['planner:3', 'spare:1']],
    ['depot', '/v1/xyz', ['spare:100']],
    ['harbour', '/v1/xyz', ['ledger:100']],
    ['harbour', '/status', ['planner:100']],
  ])('should route %s %s to %j', (customer, path, expected) => {
    expect(weightedPools(index, customer, path)).toEqual(expected);
  });

  it('should find the once rule with the longest matching prefix', () => {
    expect(index.onceRule('POST', '/assign/4')?.key).toBe('required');
    expect(index.onceRule('POST', '/other')?.key).toBe('optional');
    expect(index.onceRule('GET', '/assign/4')).toBeUndefined();
  });

  it('should know only the customers, pools and zones of the file', () => {
    expect(index.isKnownCustomer('harbour')).toBe(true);
    expect(index.isKnownCustomer('constructor')).toBe(false);
    expect(index.share('harbour')).toBe(4);
    expect(index.customerRule('harbour')?.concurrent).toBe(9);
    expect(index.poolKind('ledger')).toBe('service');
    expect(index.poolKind('constructor')).toBeUndefined();
    expect(index.pools()).toEqual(['planner', 'spare', 'ledger']);
    expect(['zone-a', 'zone-b', 'new'].map(z => index.isZoneOut(z))).toEqual([
      false,
      true,
      false,
    ]);
    expect(index.rebalance('planner')?.gainPercent).toBe(2);
    expect(index.rebalance('spare')).toBeUndefined();
  });

  it('should fill in defaults for what the file leaves out', () => {
    const limit = {timeoutMs: 30_000, attempts: 3, retryBudgetPercent: 10};
    expect(index.limit('planner')).toEqual(limit);
    expect(index.limit('spare')).toMatchObject({...limit, attempts: 1});
    expect(index.warmup('spare')).toEqual({start: 1, full: 8, overMs: 30_000});
  });
});
