/** Records when each availability zone returned to service. */

import {zoneWeight} from '../policy/zoneReturn';
import type {RuleIndex} from '../rules/ruleIndex';

/** Compares successive rules; times are `performance.now()` milliseconds. */
export class ZoneReturns {
  private out: ReadonlySet<string> = new Set();
  private readonly returnedAtMs = new Map<string, number>();

  /** Must be called with each set of rules that becomes active. */
  update(rules: RuleIndex, nowMs: number): void {
    const out = zonesOut(rules);
    for (const zone of this.out) {
      if (!out.has(zone)) this.returnedAtMs.set(zone, nowMs);
    }
    this.out = out;
  }

  /**
   * Fraction of its normal share that the zone gets now, above 0 and up to 1.
   */
  weight(availabilityZone: string, nowMs: number): number {
    const returnedAtMs = this.returnedAtMs.get(availabilityZone);
    return zoneWeight({availabilityZone, returnedAtMs}, nowMs);
  }
}

function zonesOut(rules: RuleIndex): ReadonlySet<string> {
  const zones = new Set<string>();
  for (const rule of rules.ruleSet.rules) {
    if (rule.kind === 'zone' && rule.state === 'out')
      zones.add(rule.availabilityZone);
  }
  return zones;
}
