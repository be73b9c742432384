import {formatProblem} from '../src/rules/ruleProblem';
import {parseRules} from '../src/rules/parseRules';
import {printRules} from '../src/rules/printRules';
import type {RuleSet} from '../src/rules/rule';

const VALID_FILE = `# Quay rules
revision 13 # asked by Aoife Byrne
pool planner engine # asked by Aoife Byrne, ticket 4
pool allocation service # asked by Aoife Byrne
customer harbour share=4 concurrent=40 queue=100 # asked by Niall
customer depot share=1 # asked by Niall
route customer=any path=/v1/ pool=planner # asked by Niall
route customer=harbour path=/assign pool=allocation weight=90 # asked by Niall
once POST /assign key=required # asked by Niall
warmup planner start=1 full=8 over=30s # asked by Niall
limit planner timeout=30s first-token=2s attempts=3 retry-budget=10% # asked by Niall
zone zone-b out # asked by Niall
rebalance planner on gain=5% # asked by Niall
serve planner llama version=v2 min=2 max=8 # asked by Niall
`;

function parseValid(text: string): RuleSet {
  const result = parseRules(text);
  if (!result.ok) throw new Error(JSON.stringify(result.problems));
  return result.ruleSet;
}

function problems(text: string): readonly string[] {
  const result = parseRules(text);
  return result.ok ? [] : result.problems.map(p => formatProblem('f', p));
}

/** Problems of a line that is appended to a valid file. */
function problemsOfLine(line: string): string {
  return problems(`${VALID_FILE}${line}`).join('\n').replaceAll('f:14:', '');
}

describe('rule file', () => {
  it('should read every kind of rule', () => {
    const {revision, rules} = parseValid(VALID_FILE);
    expect(revision).toBe(13);
    expect(rules.map(rule => rule.kind)).toHaveLength(13);
    expect(rules.map(rule => rule.askedBy).slice(0, 4)).toEqual([
      'Aoife Byrne',
      'Aoife Byrne',
      'Aoife Byrne',
      'Niall',
    ]);
    expect(rules.find(rule => rule.kind === 'limit')).toMatchObject({
      line: 11,
      timeoutMs: 30_000,
      firstTokenMs: 2000,
      retryBudgetPercent: 10,
    });
  });

  it('should parse printed rules to the same rules', () => {
    const first = parseValid(VALID_FILE);
    expect(parseValid(printRules(first)).rules).toEqual(first.rules);
  });

  it.each([
    ['zone a out', '11: nobody is named; end the line with "# asked by NAME"'],
    ['zone a out # urgent', '12: nobody is named'],
    ['zone a out # asked by tbd', '12: nobody is named'],
    [
      'zone a off # asked by A',
      '8: state must be one of "in", "out", not "off"',
    ],
    ['zon a out # asked by A', '1: unknown rule "zon"; did you mean "zone"?'],
    ['zone # asked by A', '5: the zone is missing; it must be a name'],
    ['zone a out now # asked by A', '12: nothing may follow here, found "now"'],
    [
      'zone zone-b in # asked by A',
      '1: "zone zone-b" stands on line 12 already',
    ],
    ['pool planner engine # asked by A', '1: "pool planner" stands on line 3'],
    ['revision 14 # asked by A', '1: "revision" stands on line 2 already'],
    [
      'warmup planer start=1 full=2 over=3s # asked by A',
      '8: no "pool planer" line; did you mean "planner"?',
    ],
    [
      'warmup allocation start=9 full=2 over=3s # asked by A',
      '25: start must not exceed full',
    ],
    [
      'warmup allocation start=1 full=2 over=3h # asked by A',
      '39: over must be a time from 1s to 60m',
    ],
    [
      'customer quay shares=2 # asked by A',
      '15: unknown key "shares"; did you mean "share"?',
    ],
    [
      'customer quay share=0 # asked by A',
      '21: share must be a whole number from 1 to 1000',
    ],
    [
      'customer quay share=1 share=2 # asked by A',
      '23: "share" is given twice',
    ],
    [
      'customer any share=1 # asked by A',
      '10: "any" stands for every customer',
    ],
    [
      'route customer=quay path=/ pool=planner # asked by A',
      '16: no "customer quay" line',
    ],
    [
      'route customer=depot path=/ pool=planner weight=0 # asked by A',
      '49: all routes of customer=depot path=/ have weight 0',
    ],
    [
      'route customer=depot path=/* pool=planner # asked by A',
      '22: "*" and "?" are no wildcards here',
    ],
    [
      'limit allocation first-token=2s # asked by A',
      '30: first-token is for pools of engines only',
    ],
    [
      'limit allocation timeout=1s hedge-after=2s # asked by A',
      '41: hedge-after must be less than timeout',
    ],
    [
      'rebalance allocation on # asked by A',
      '11: rebalance is for pools of engines only',
    ],
    [
      'serve allocation llama version=v2 min=2 max=8 # asked by A',
      '7: serve is for pools of engines only',
    ],
    [
      'serve planner other version=v2 min=3 max=2 # asked by A',
      '36: min must not exceed max',
    ],
    ['zone a out; zone b out # asked by A', '11: ";" has no meaning here'],
    ['zone "a" out # asked by A', '6: quotes, backslashes'],
    ['zone a out " # asked by A', '12: quotes, backslashes'],
    ['zone a out# asked by A', '11: put a blank before "#"'],
    ['zone a ${ # asked by A', '8: quotes, backslashes'],
    ['zone a out # asked by A\u0007', '24: control characters'],
  ])('should refuse %j and say why', (line, reason) => {
    expect(problemsOfLine(line)).toContain(reason);
  });

  it('should report all problems at once, in order', () => {
    const text = 'zone a off # asked by A\npool p engin # asked by B\n';
    expect(problems(text).map(p => p.split(': ')[0])).toEqual([
      'f:1:1',
      'f:1:8',
      'f:2:8',
    ]);
  });
});
