/** Indexes a rule set once, for fast lookups by each request. */

import {canonicalPath} from './requestPath';
import type {
  CustomerRule,
  LimitRule,
  OnceRule,
  PoolRule,
  RebalanceRule,
  RouteRule,
  RuleSet,
  ServeRule,
  WarmupRule,
} from './rule';
import {ANY_CUSTOMER} from './crossCheck';
import {DEFAULT_LIMIT, DEFAULT_SHARE, DEFAULT_WARMUP} from './ruleDefaults';

/** A pool that a request may be routed to; its weight is above 0. */
export interface RouteCandidate {
  readonly pool: string;
  readonly weight: number;
  /** Line of the rule, for `explain`. */
  readonly line: number;
}

/** Limits of a pool, with defaults filled in. */
export type PoolLimit = Pick<
  LimitRule,
  | 'timeoutMs'
  | 'firstTokenMs'
  | 'attempts'
  | 'retryBudgetPercent'
  | 'hedgeAfterMs'
>;

/** Concurrency ramp of a pool, with defaults filled in. */
export type PoolWarmup = Pick<WarmupRule, 'start' | 'full' | 'overMs'>;

interface PrefixEntry<T> {
  readonly path: string;
  readonly value: T;
}

/** Finds values by path prefix; the longest matching prefix wins. */
class PrefixTable<T> {
  private readonly entries: readonly PrefixEntry<T>[];

  constructor(values: ReadonlyMap<string, T>) {
    this.entries = [...values]
      .map(([path, value]) => ({path, value}))
      .sort((a, b) => b.path.length - a.path.length);
  }

  find(path: string): T | undefined {
    return this.entries.find(entry => path.startsWith(entry.path))?.value;
  }
}

type RouteTable = PrefixTable<readonly RouteCandidate[]>;

function groupBy<K, V>(
  items: Iterable<V>,
  key: (item: V) => K
): ReadonlyMap<K, readonly V[]> {
  const groups = new Map<K, V[]>();
  for (const item of items) {
    const group = groups.get(key(item));
    if (group === undefined) groups.set(key(item), [item]);
    else group.push(item);
  }
  return groups;
}

function routeTable(rules: readonly RouteRule[]): RouteTable {
  const byPath = new Map<string, readonly RouteCandidate[]>();
  for (const [path, group] of groupBy(rules, rule => rule.path)) {
    const candidates = group
      .filter(rule => rule.weight > 0)
      .map(({pool, weight, line}) => ({pool, weight, line}));
    byPath.set(path, candidates);
  }
  return new PrefixTable(byPath);
}

function onceTable(rules: readonly OnceRule[]): PrefixTable<OnceRule> {
  return new PrefixTable(new Map(rules.map(rule => [rule.path, rule])));
}

function mapValues<K, V, W>(
  map: ReadonlyMap<K, V>,
  transform: (value: V) => W
): ReadonlyMap<K, W> {
  return new Map([...map].map(([key, value]) => [key, transform(value)]));
}

/** An immutable index of one rule set. */
export class RuleIndex {
  readonly revision: number;
  private readonly poolRules = new Map<string, PoolRule>();
  private readonly customers = new Map<string, CustomerRule>();
  private readonly limits = new Map<string, LimitRule>();
  private readonly warmups = new Map<string, WarmupRule>();
  private readonly rebalances = new Map<string, RebalanceRule>();
  private readonly serveRulesByPool: ReadonlyMap<string, readonly ServeRule[]>;
  private readonly zonesOut = new Set<string>();
  private readonly routeTables: ReadonlyMap<string, RouteTable>;
  private readonly onceTables: ReadonlyMap<string, PrefixTable<OnceRule>>;

  constructor(readonly ruleSet: RuleSet) {
    this.revision = ruleSet.revision;
    const routes: RouteRule[] = [];
    const once: OnceRule[] = [];
    const serve: ServeRule[] = [];
    for (const rule of ruleSet.rules) {
      if (rule.kind === 'pool') this.poolRules.set(rule.pool, rule);
      if (rule.kind === 'customer') this.customers.set(rule.customer, rule);
      if (rule.kind === 'limit') this.limits.set(rule.pool, rule);
      if (rule.kind === 'warmup') this.warmups.set(rule.pool, rule);
      if (rule.kind === 'rebalance') this.rebalances.set(rule.pool, rule);
      if (rule.kind === 'zone' && rule.state === 'out')
        this.zonesOut.add(rule.availabilityZone);
      if (rule.kind === 'route') routes.push(rule);
      if (rule.kind === 'once') once.push(rule);
      if (rule.kind === 'serve') serve.push(rule);
    }
    this.serveRulesByPool = groupBy(serve, rule => rule.pool);
    const byCustomer = groupBy(routes, rule => rule.customer);
    this.routeTables = mapValues(byCustomer, routeTable);
    const byMethod = groupBy(once, rule => rule.method);
    this.onceTables = mapValues(byMethod, onceTable);
  }

  isKnownCustomer(customer: string): boolean {
    return this.customers.has(customer);
  }

  /** Weight of the customer in fair queues. */
  share(customer: string): number {
    return this.customers.get(customer)?.share ?? DEFAULT_SHARE;
  }

  customerRule(customer: string): CustomerRule | undefined {
    return this.customers.get(customer);
  }

  /**
   * Pools that the request may be routed to, with weights; empty if no route
   * matches. A customer's own routes take precedence over those of `any`;
   * among them the longest matching path prefix wins.
   */
  routes(customer: string, requestTarget: string): readonly RouteCandidate[] {
    const path = canonicalPath(requestTarget);
    const own = this.routeTables.get(customer)?.find(path);
    const shared = own ?? this.routeTables.get(ANY_CUSTOMER)?.find(path);
    return shared ?? [];
  }

  /**
   * The rule that makes a call non-idempotent; undefined if it is idempotent.
   */
  onceRule(method: string, requestTarget: string): OnceRule | undefined {
    return this.onceTables.get(method)?.find(canonicalPath(requestTarget));
  }

  limit(pool: string): PoolLimit {
    return this.limits.get(pool) ?? DEFAULT_LIMIT;
  }

  warmup(pool: string): PoolWarmup {
    return this.warmups.get(pool) ?? DEFAULT_WARMUP;
  }

  /**
   * Whether the zone is out of service; zones without a line are in service.
   */
  isZoneOut(availabilityZone: string): boolean {
    return this.zonesOut.has(availabilityZone);
  }

  /**
   * The rebalance rule of the pool; undefined if rebalancing is off or not
   * configured.
   */
  rebalance(pool: string): RebalanceRule | undefined {
    const rule = this.rebalances.get(pool);
    return rule?.state === 'on' ? rule : undefined;
  }

  /**
   * Models to assign to the targets of the pool; if empty, their models are not
   * changed.
   */
  serveRules(pool: string): readonly ServeRule[] {
    return this.serveRulesByPool.get(pool) ?? [];
  }

  /** Whether a `serve` line assigns the model to the pool. */
  servesModel(pool: string, model: string): boolean {
    return this.serveRules(pool).some(rule => rule.model === model);
  }

  poolKind(pool: string): PoolRule['targets'] | undefined {
    return this.poolRules.get(pool)?.targets;
  }

  pools(): readonly string[] {
    return [...this.poolRules.keys()];
  }
}
