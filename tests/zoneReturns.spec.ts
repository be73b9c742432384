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

// The returning zone's targets look idle, so every entry sends there at once:
// they are swamped in the second they come back, and callers wait.
describe('return of an availability zone', () => {
  it('should give the zone a growing part of its share', () => {
    const returns = new ZoneReturns();
    returns.follow(rules(1, 'quay-b'), 0);
    returns.follow(rules(2), 1_000);
    const weights = [1_000, 3_000, 6_000, 60_000].map(at =>
      returns.weight('quay-b', at)
    );
    expect(weights).toEqual([...weights].sort((a, b) => a - b));
    expect(weights[0]).toBeLessThan(0.2);
    expect(weights.at(-1)).toBe(1);
  });

  it('should leave zones alone that were in service all along', () => {
    const returns = new ZoneReturns();
    returns.follow(rules(1, 'quay-b'), 0);
    returns.follow(rules(2), 1_000);
    expect(returns.weight('quay-a', 1_000)).toBe(1);
  });
});
