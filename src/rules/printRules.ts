/** Prints rules in their one canonical spelling. */

import {unreachable} from '../core/errors';
import {printDuration} from './fieldSchemas';
import type {LimitRule, Rule, RuleSet} from './rule';

function option(key: string, value: string | number | undefined): string {
  return value === undefined ? '' : ` ${key}=${value}`;
}

function time(key: string, ms: number | undefined): string {
  return option(key, ms === undefined ? undefined : printDuration(ms));
}

function limitText(rule: LimitRule): string {
  return [
    `limit ${rule.pool}`,
    time('timeout', rule.timeoutMs),
    time('first-token', rule.firstTokenMs),
    option('attempts', rule.attempts),
    option('retry-budget', `${rule.retryBudgetPercent}%`),
    time('hedge-after', rule.hedgeAfterMs),
  ].join('');
}

/** The rule without its comment. */
export function printRuleWords(rule: Rule): string {
  switch (rule.kind) {
    case 'revision':
      return `revision ${rule.revision}`;
    case 'pool':
      return `pool ${rule.pool} ${rule.targets}`;
    case 'route':
      return `route customer=${rule.customer} path=${rule.path} pool=${rule.pool} weight=${rule.weight}`;
    case 'customer':
      return `customer ${rule.customer} share=${rule.share}${option('concurrent', rule.concurrent)}${option('queue', rule.queue)}`;
    case 'once':
      return `once ${rule.method} ${rule.path} key=${rule.key}`;
    case 'warmup':
      return `warmup ${rule.pool} start=${rule.start} full=${rule.full}${time('over', rule.overMs)}`;
    case 'limit':
      return limitText(rule);
    case 'zone':
      return `zone ${rule.availabilityZone} ${rule.state}`;
    case 'rebalance':
      return `rebalance ${rule.pool} ${rule.state} gain=${rule.gainPercent}%`;
    case 'serve':
      return `serve ${rule.pool} ${rule.model} version=${rule.version} min=${rule.min} max=${rule.max}`;
    default:
      return unreachable(rule);
  }
}

/** The whole file; each rule stays on its line, remarks become blank lines. */
export function printRules(ruleSet: RuleSet): string {
  const lines: string[] = [];
  for (const rule of ruleSet.rules) {
    while (lines.length < rule.line - 1) lines.push('');
    lines.push(`${printRuleWords(rule)} # asked by ${rule.askedBy}`);
  }
  return `${lines.join('\n')}\n`;
}
