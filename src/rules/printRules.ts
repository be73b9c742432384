/** Prints rules in canonical form, with defaults written out. */

import {unreachable} from '../core/errors';
import {printDuration} from './fieldSchemas';
import type {LimitRule, Rule, RuleSet} from './rule';

function formatOption(key: string, value: string | number | undefined): string {
  return value === undefined ? '' : ` ${key}=${value}`;
}

function formatDurationOption(key: string, ms: number | undefined): string {
  return formatOption(key, ms === undefined ? undefined : printDuration(ms));
}

function formatLimit(rule: LimitRule): string {
  return [
    `limit ${rule.pool}`,
    formatDurationOption('timeout', rule.timeoutMs),
    formatDurationOption('first-token', rule.firstTokenMs),
    formatOption('attempts', rule.attempts),
    formatOption('retry-budget', `${rule.retryBudgetPercent}%`),
    formatDurationOption('hedge-after', rule.hedgeAfterMs),
  ].join('');
}

/** Returns the line of a rule without its comment. */
export function printRuleWords(rule: Rule): string {
  switch (rule.kind) {
    case 'revision':
      return `revision ${rule.revision}`;
    case 'pool':
      return `pool ${rule.pool} ${rule.targets}`;
    case 'route':
      return `route customer=${rule.customer} path=${rule.path} pool=${rule.pool} weight=${rule.weight}`;
    case 'customer':
      return `customer ${rule.customer} share=${rule.share}${formatOption('concurrent', rule.concurrent)}${formatOption('queue', rule.queue)}`;
    case 'once':
      return `once ${rule.method} ${rule.path} key=${rule.key}`;
    case 'warmup':
      return `warmup ${rule.pool} start=${rule.start} full=${rule.full}${formatDurationOption('over', rule.overMs)}`;
    case 'limit':
      return formatLimit(rule);
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

/**
 * Returns the whole file. Rules keep their line numbers; comment lines become
 * blank.
 */
export function printRules(ruleSet: RuleSet): string {
  const lines: string[] = [];
  for (const rule of ruleSet.rules) {
    while (lines.length < rule.line - 1) lines.push('');
    lines.push(`${printRuleWords(rule)} # asked by ${rule.askedBy}`);
  }
  return `${lines.join('\n')}\n`;
}
