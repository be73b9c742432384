/** Checks that concern more than one line of the rule file. */

import {suggestion} from '../core/nearestName';
import {unreachable} from '../core/errors';
import {columnOf} from './parseLine';
import type {PlacedRule} from './parseLine';
import type {LimitRule, PoolRule, Rule, RouteRule, ServeRule} from './rule';
import type {RuleProblem} from './ruleProblem';

/** A customer name in routes that stands for every customer. */
export const ANY_CUSTOMER = 'any';

function ofKind<K extends Rule['kind']>(
  placed: readonly PlacedRule[],
  kind: K
): readonly Extract<Rule, {kind: K}>[] {
  return placed
    .map(item => item.rule)
    .filter((rule): rule is Extract<Rule, {kind: K}> => rule.kind === kind);
}

/** What may stand only once in a file, in words. */
function identity(rule: Rule): string {
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
  item: PlacedRule,
  key: string | undefined,
  reason: string
): RuleProblem {
  const column = key === undefined ? 1 : columnOf(item, key);
  return {line: item.rule.line, column, reason};
}

function findDuplicates(placed: readonly PlacedRule[]): readonly RuleProblem[] {
  const first = new Map<string, number>();
  const problems: RuleProblem[] = [];
  for (const item of placed) {
    const id = identity(item.rule);
    const line = first.get(id);
    if (line === undefined) first.set(id, item.rule.line);
    else
      problems.push(
        problemAt(item, undefined, `"${id}" stands on line ${line} already`)
      );
  }
  return problems;
}

/** Refuses names of pools and customers that no line declares. */
function findUndeclared(
  placed: readonly PlacedRule[],
  declared: Declared
): readonly RuleProblem[] {
  return placed.flatMap(item => {
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

/** Names that some line of the file mentions as its own. */
export interface Declared {
  readonly pools: ReadonlySet<string>;
  /** With `any`. */
  readonly customers: ReadonlySet<string>;
}

function findDeadRoutes(placed: readonly PlacedRule[]): readonly RuleProblem[] {
  const total = new Map<string, number>();
  const key = (rule: RouteRule) => `${rule.customer} ${rule.path}`;
  for (const rule of ofKind(placed, 'route'))
    total.set(key(rule), (total.get(key(rule)) ?? 0) + rule.weight);
  const reported = new Set<string>();
  return placed.flatMap(item => {
    const {rule} = item;
    if (rule.kind !== 'route' || total.get(key(rule)) !== 0) return [];
    if (reported.has(key(rule))) return [];
    reported.add(key(rule));
    const reason = `all routes of customer=${rule.customer} path=${rule.path} have weight 0; one must have more`;
    return [problemAt(item, 'weight', reason)];
  });
}

function checkLimit(
  item: PlacedRule,
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
  item: PlacedRule,
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

function checkValues(placed: readonly PlacedRule[]): readonly RuleProblem[] {
  const pools = new Map(ofKind(placed, 'pool').map(rule => [rule.pool, rule]));
  return placed.flatMap(item => {
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
 * All faults across lines. Declared names are given apart from the rules, so
 * that a fault in a `pool` line is not reported again by each line that uses
 * the pool.
 */
export function crossCheck(
  placed: readonly PlacedRule[],
  declared: Declared
): readonly RuleProblem[] {
  return [
    ...findDuplicates(placed),
    ...findUndeclared(placed, declared),
    ...findDeadRoutes(placed),
    ...checkValues(placed),
  ];
}
