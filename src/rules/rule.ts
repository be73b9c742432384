/** Types of the operators' rules. Each rule is one line of the rule file. */

interface RuleLine {
  /** Line number in the file, from 1. */
  readonly line: number;
  /** Who asked for it, from the comment at the end of the line. */
  readonly askedBy: string;
}

/** `revision 13`: number of this file; exactly one more than the previous. */
export interface RevisionRule extends RuleLine {
  readonly kind: 'revision';
  readonly revision: number;
}

/** `pool planner engine`: equivalent targets, model engines or a service. */
export interface PoolRule extends RuleLine {
  readonly kind: 'pool';
  readonly pool: string;
  readonly targets: 'engine' | 'service';
}

/** `route customer=harbour path=/v1/ pool=planner weight=90`. */
export interface RouteRule extends RuleLine {
  readonly kind: 'route';
  /** A customer, or `any`; a customer's own routes take precedence. */
  readonly customer: string;
  /** Path prefix; the longest matching prefix wins. */
  readonly path: string;
  readonly pool: string;
  /** Weight among routes with the same customer and path, 0 to 1000. */
  readonly weight: number;
}

/** `customer harbour share=4 concurrent=40 queue=100`. */
export interface CustomerRule extends RuleLine {
  readonly kind: 'customer';
  readonly customer: string;
  /** Weight in every fair queue, at least 1. */
  readonly share: number;
  /** Concurrency limit of the customer at one target; unlimited if absent. */
  readonly concurrent?: number;
  /** Limit of queued requests of the customer at one target. */
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

/** `warmup planner start=1 full=8 over=30s`: concurrency ramp of a target. */
export interface WarmupRule extends RuleLine {
  readonly kind: 'warmup';
  readonly pool: string;
  /** Concurrency limit of a target that has just started. */
  readonly start: number;
  /** Concurrency limit of a warm target. */
  readonly full: number;
  /** Minimum time under load from `start` to `full`. */
  readonly overMs: number;
}

/** `limit planner timeout=30s first-token=2s attempts=3 retry-budget=10%`. */
export interface LimitRule extends RuleLine {
  readonly kind: 'limit';
  readonly pool: string;
  readonly timeoutMs: number;
  readonly firstTokenMs?: number;
  /** Maximum attempts per request, the first included; at least 1. */
  readonly attempts: number;
  /** Allowed retries per 100 requests. */
  readonly retryBudgetPercent: number;
  /** Delay of the hedge attempt; idempotent calls only. */
  readonly hedgeAfterMs?: number;
}

/** `zone zone-b out`: takes an availability zone in or out of service. */
export interface ZoneRule extends RuleLine {
  readonly kind: 'zone';
  readonly availabilityZone: string;
  readonly state: 'in' | 'out';
}

/** `rebalance planner on gain=5%`: whether experts are moved between ranks. */
export interface RebalanceRule extends RuleLine {
  readonly kind: 'rebalance';
  readonly pool: string;
  readonly state: 'on' | 'off';
  /** Minimum reduction of the pass duration for a move, in percent. */
  readonly gainPercent: number;
}

/** `serve planner llama version=v2 min=2 max=8`: targets that serve a model. */
export interface ServeRule extends RuleLine {
  readonly kind: 'serve';
  readonly pool: string;
  readonly model: string;
  /** Targets of the model with another version are changed to this one. */
  readonly version: string;
  /** Minimum number of targets serving the model at any time, any version. */
  readonly min: number;
  /** Maximum number of targets that the model is assigned to. */
  readonly max: number;
}

/** A rule of any kind. */
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

/** A valid rule file. */
export interface RuleSet {
  readonly revision: number;
  readonly text: string;
  readonly rules: readonly Rule[];
}
