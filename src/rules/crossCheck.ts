/** Validates rules against each other, over all lines of a rule file. */

import {suggestion} from '../core/nearestName';
import {unreachable} from '../core/errors';
import {columnOf} from './parseLine';
import type {ParsedRule} from './parseLine';
import type {LimitRule, PoolRule, Rule, RouteRule, ServeRule} from './rule';
import type {RuleProblem} from './ruleProblem';

/** Customer name in `route` lines that matches every customer. */
export const ANY_CUSTOMER = 'any';

function rulesOfKind<K extends Rule['kind']>(
  parsedRules: readonly ParsedRule[],
  kind: K
): readonly Extract<Rule, {kind: K}>[] {
  return parsedRules
    .map(item => item.rule)
    .filter((rule): rule is Extract<Rule, {kind: K}> => rule.kind === kind);
}

/** Key that only one line of a file may have, as printed in problems. */
function uniqueKey(rule: Rule): string {
  switch (rule.kind) {
    case 'revision':
      return 'revision';
    case 'pool':
    case 'warmup':
    case 'limit':
    case 'rebalance':
      return `${rule.kind} ${rule.pool}`;
    case 'serve':
      return `serve ${rule.pool} ${rule.model}`;
    case 'customer':
      return `customer ${rule.customer}`;
    case 'zone':
      return `zone ${rule.availabilityZone}`;
    case 'once':
      return `once ${rule.method} ${rule.path}`;
    case 'route':
      return `route customer=${rule.customer} path=${rule.path} pool=${rule.pool}`;
    default:
      return unreachable(rule);
  }
}

function problemAt(
  item: ParsedRule,
  key: string | undefined,
  reason: string
): RuleProblem {
  const column = key === undefined ? 1 : columnOf(item, key);
  return {line: item.rule.line, column, reason};
}

function findDuplicates(
  parsedRules: readonly ParsedRule[]
): readonly RuleProblem[] {
  const firstLines = new Map<string, number>();
  const problems: RuleProblem[] = [];
  for (const item of parsedRules) {
    const key = uniqueKey(item.rule);
    const line = firstLines.get(key);
    if (line === undefined) firstLines.set(key, item.rule.line);
    else
      problems.push(
        problemAt(item, undefined, `"${key}" stands on line ${line} already`)
      );
  }
  return problems;
}

/** Reports pools and customers that no line declares. */
function findUndeclaredNames(
  parsedRules: readonly ParsedRule[],
  declared: DeclaredNames
): readonly RuleProblem[] {
  return parsedRules.flatMap(item => {
    const {rule} = item;
    const problems: RuleProblem[] = [];
    if ('pool' in rule && !declared.pools.has(rule.pool))
      problems.push(
        problemAt(
          item,
          'pool',
          `no "pool ${rule.pool}" line${suggestion(rule.pool, declared.pools)}`
        )
      );
    if (rule.kind === 'route' && !declared.customers.has(rule.customer))
      problems.push(
        problemAt(
          item,
          'customer',
          `no "customer ${rule.customer}" line${suggestion(rule.customer, declared.customers)}`
        )
      );
    return problems;
  });
}

/** Names that the `pool` and `customer` lines of a file declare. */
export interface DeclaredNames {
  readonly pools: ReadonlySet<string>;
  /** Includes `any`. */
  readonly customers: ReadonlySet<string>;
}

function findZeroWeightRoutes(
  parsedRules: readonly ParsedRule[]
): readonly RuleProblem[] {
  const totalWeights = new Map<string, number>();
  const routeKey = (rule: RouteRule) => `${rule.customer} ${rule.path}`;
  for (const rule of rulesOfKind(parsedRules, 'route'))
    totalWeights.set(
      routeKey(rule),
      (totalWeights.get(routeKey(rule)) ?? 0) + rule.weight
    );
  const reported = new Set<string>();
  return parsedRules.flatMap(item => {
    const {rule} = item;
    if (rule.kind !== 'route' || totalWeights.get(routeKey(rule)) !== 0)
      return [];
    if (reported.has(routeKey(rule))) return [];
    reported.add(routeKey(rule));
    const reason = `all routes of customer=${rule.customer} path=${rule.path} have weight 0; one must have more`;
    return [problemAt(item, 'weight', reason)];
  });
}

function checkLimit(
  item: ParsedRule,
  rule: LimitRule,
  pool: PoolRule | undefined
): readonly RuleProblem[] {
  const problems: RuleProblem[] = [];
  const {timeoutMs, firstTokenMs, hedgeAfterMs} = rule;
  const report = (key: string, reason: string) =>
    problems.push(problemAt(item, key, reason));
  if (firstTokenMs !== undefined && firstTokenMs > timeoutMs)
    report('first-token', 'first-token must not exceed timeout');
  if (firstTokenMs !== undefined && pool?.targets === 'service')
    report('first-token', 'first-token is for pools of engines only');
  if (hedgeAfterMs !== undefined && hedgeAfterMs >= timeoutMs)
    report('hedge-after', 'hedge-after must be less than timeout');
  if (hedgeAfterMs !== undefined && rule.attempts < 2)
    report('hedge-after', 'hedge-after needs attempts=2 or more');
  return problems;
}

function checkServe(
  item: ParsedRule,
  rule: ServeRule,
  pool: PoolRule | undefined
): readonly RuleProblem[] {
  const problems: RuleProblem[] = [];
  if (rule.min > rule.max)
    problems.push(problemAt(item, 'min', 'min must not exceed max'));
  if (pool?.targets === 'service')
    problems.push(
      problemAt(item, 'pool', 'serve is for pools of engines only')
    );
  return problems;
}

function checkValues(
  parsedRules: readonly ParsedRule[]
): readonly RuleProblem[] {
  const pools = new Map(
    rulesOfKind(parsedRules, 'pool').map(rule => [rule.pool, rule])
  );
  return parsedRules.flatMap(item => {
    const {rule} = item;
    if (rule.kind === 'limit')
      return checkLimit(item, rule, pools.get(rule.pool));
    if (rule.kind === 'warmup' && rule.start > rule.full)
      return [problemAt(item, 'start', 'start must not exceed full')];
    if (rule.kind === 'customer' && rule.customer === ANY_CUSTOMER)
      return [
        problemAt(
          item,
          'customer',
          '"any" stands for every customer in routes'
        ),
      ];
    if (rule.kind === 'serve')
      return checkServe(item, rule, pools.get(rule.pool));
    if (
      rule.kind === 'rebalance' &&
      pools.get(rule.pool)?.targets === 'service'
    )
      return [
        problemAt(item, 'pool', 'rebalance is for pools of engines only'),
      ];
    return [];
  });
}

/**
 * Returns all problems between lines. The declared names are passed separately,
 * because they include those of invalid lines: a problem in a `pool` line must
 * not be reported again for each line that uses the pool.
 */
export function crossCheck(
  parsedRules: readonly ParsedRule[],
  declared: DeclaredNames
): readonly RuleProblem[] {
  return [
    ...findDuplicates(parsedRules),
    ...findUndeclaredNames(parsedRules, declared),
    ...findZeroWeightRoutes(parsedRules),
    ...checkValues(parsedRules),
  ];
}
