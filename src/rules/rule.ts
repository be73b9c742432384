/** The operators' rules as data. One line of the rule file is one rule. */

interface RuleLine {
  /** Line in the file, from 1. */
  readonly line: number;
  /** Who asked for it, from the comment at the end of the line. */
  readonly askedBy: string;
}

/** `revision 13`: the number of this file; exactly one more than the last. */
export interface RevisionRule extends RuleLine {
  readonly kind: 'revision';
  readonly revision: number;
}

/** `pool planner engine`: a set of like targets, model engines or a service. */
export interface PoolRule extends RuleLine {
  readonly kind: 'pool';
  readonly pool: string;
  readonly targets: 'engine' | 'service';
}

/** `route customer=harbour path=/v1/ pool=planner weight=90`. */
export interface RouteRule extends RuleLine {
  readonly kind: 'route';
  /** A customer, or `any`. A customer's own routes go before those of `any`. */
  readonly customer: string;
  /** Path prefix; the longest match goes first. */
  readonly path: string;
  readonly pool: string;
  /** Share of this route among equal ones, 0 to 1000. */
  readonly weight: number;
}

/** `customer harbour share=4 concurrent=40 queue=100`. */
export interface CustomerRule extends RuleLine {
  readonly kind: 'customer';
  readonly customer: string;
  /** Weight in every fair queue, above 0. */
  readonly share: number;
  /** Most requests at once for the customer at one target; none when absent. */
  readonly concurrent?: number;
  /** Most requests queued for the customer at one target. */
  readonly queue?: number;
}

/** `once POST /assign key=required`: calls that are not idempotent. */
export interface OnceRule extends RuleLine {
  readonly kind: 'once';
  readonly method: string;
  /** Path prefix. */
  readonly path: string;
  readonly key: 'required' | 'optional';
}

/** `warmup planner start=1 full=8 over=30s`: what a fresh target may carry. */
export interface WarmupRule extends RuleLine {
  readonly kind: 'warmup';
  readonly pool: string;
  /** Requests at once on a target that has just started. */
  readonly start: number;
  /** Requests at once on a warm target. */
  readonly full: number;
  /** Least time from start to full, under load. */
  readonly overMs: number;
}

/** `limit planner timeout=30s first-token=2s attempts=3 retry-budget=10%`. */
export interface LimitRule extends RuleLine {
  readonly kind: 'limit';
  readonly pool: string;
  readonly timeoutMs: number;
  readonly firstTokenMs?: number;
  /** Attempts on targets in all, 1 or more. */
  readonly attempts: number;
  /** Retries allowed per hundred requests. */
  readonly retryBudgetPercent: number;
  /** Second attempt after this time, for idempotent calls only. */
  readonly hedgeAfterMs?: number;
}

/** `zone zone-b out`: an availability zone in or out of service. */
export interface ZoneRule extends RuleLine {
  readonly kind: 'zone';
  readonly availabilityZone: string;
  readonly state: 'in' | 'out';
}

/** `rebalance planner on gain=5%`: moving experts between ranks. */
export interface RebalanceRule extends RuleLine {
  readonly kind: 'rebalance';
  readonly pool: string;
  readonly state: 'on' | 'off';
  /** Least gain in step time that may start a move, in percent. */
  readonly gainPercent: number;
}

/** `serve planner llama version=v2 min=2 max=8`: targets that hold a model. */
export interface ServeRule extends RuleLine {
  readonly kind: 'serve';
  readonly pool: string;
  readonly model: string;
  /** Version to which targets that hold another one are changed. */
  readonly version: string;
  /** Targets that serve the model, in any version, at all times. */
  readonly min: number;
  /** Most targets that are given the model. */
  readonly max: number;
}

/** Any rule. */
export type Rule =
  | RevisionRule
  | PoolRule
  | RouteRule
  | CustomerRule
  | OnceRule
  | WarmupRule
  | LimitRule
  | ZoneRule
  | RebalanceRule
  | ServeRule;

/** One accepted file. */
export interface RuleSet {
  readonly revision: number;
  readonly text: string;
  readonly rules: readonly Rule[];
}
