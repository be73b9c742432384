/** Converts the parsed values of a line to a rule, with defaults filled in. */

import {unreachable} from '../core/errors';
import type {Rule} from './rule';
import {
  DEFAULT_GAIN_PERCENT,
  DEFAULT_LIMIT,
  DEFAULT_WEIGHT,
} from './ruleDefaults';
import type {RuleValues} from './ruleSchema';

interface RuleOrigin {
  readonly line: number;
  readonly askedBy: string;
}

type LimitValues = Extract<RuleValues, {kind: 'limit'}>;

function limitRule(values: LimitValues, origin: RuleOrigin): Rule {
  return {
    ...origin,
    kind: 'limit',
    pool: values.pool,
    timeoutMs: values.timeout ?? DEFAULT_LIMIT.timeoutMs,
    firstTokenMs: values['first-token'],
    attempts: values.attempts ?? DEFAULT_LIMIT.attempts,
    retryBudgetPercent:
      values['retry-budget'] ?? DEFAULT_LIMIT.retryBudgetPercent,
    hedgeAfterMs: values['hedge-after'],
  };
}

/** Returns the rule of a validated line. */
export function toRule(values: RuleValues, origin: RuleOrigin): Rule {
  switch (values.kind) {
    case 'revision':
      return {...origin, kind: 'revision', revision: values.number};
    case 'route':
      return {...origin, ...values, weight: values.weight ?? DEFAULT_WEIGHT};
    case 'warmup': {
      const {over, ...rest} = values;
      return {...origin, ...rest, overMs: over};
    }
    case 'limit':
      return limitRule(values, origin);
    case 'zone': {
      const {zone, ...rest} = values;
      return {...origin, ...rest, availabilityZone: zone};
    }
    case 'rebalance': {
      const {gain, ...rest} = values;
      return {...origin, ...rest, gainPercent: gain ?? DEFAULT_GAIN_PERCENT};
    }
    case 'pool':
    case 'customer':
    case 'once':
    case 'serve':
      return {...origin, ...values};
    default:
      return unreachable(values);
  }
}
