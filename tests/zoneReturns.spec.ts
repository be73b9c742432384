import {ZoneReturns} from '../src/entry/zoneReturns';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';

function rules(revision: number, ...out: readonly string[]): RuleIndex {
  const lines = [
    `revision ${revision}`,
    ...out.map(zone => `zone ${zone} out`),
  ];
  const parsed = parseRules(
    lines.map(line => `${line} # asked by Aoife\n`).join('')
  );
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.problems));
  return new RuleIndex(parsed.ruleSet);
}

// The targets of a returning zone look idle. Without a ramp, every entry would
// send its requests there and overload them in the first second.
describe('return of an availability zone', () => {
  it('should give the zone a growing fraction of its share', () => {
    const returns = new ZoneReturns();
    returns.update(rules(1, 'quay-b'), 0);
    returns.update(rules(2), 1_000);
    const weights = [1_000, 3_000, 6_000, 60_000].map(at =>
      returns.weight('quay-b', at)
    );
    expect(weights).toEqual([...weights].sort((a, b) => a - b));
    expect(weights[0]).toBeLessThan(0.2);
    expect(weights.at(-1)).toBe(1);
  });

  it('should give a zone its full share if it was always in service', () => {
    const returns = new ZoneReturns();
    returns.update(rules(1, 'quay-b'), 0);
    returns.update(rules(2), 1_000);
    expect(returns.weight('quay-a', 1_000)).toBe(1);
  });
});
