/** The availability zones that the committed rules take out of service. */

import {parseRules} from '../rules/parseRules';
import type {RulesState} from './state/rulesState';
import type {ZoneStatus} from './entryViews';

/** Caches the zones of the rules that are committed on this instance. */
export class ZoneStatusCache {
  private zones: ZoneStatus = {revision: 0, isZoneOut: () => false};

  constructor(private readonly rules: Pick<RulesState, 'revision' | 'text'>) {}

  /** Parses the rule file again only when its revision has changed. */
  current(): ZoneStatus {
    const {revision, text} = this.rules;
    if (revision === this.zones.revision) return this.zones;
    const parsed = parseRules(text);
    const out = new Set<string>();
    if (parsed.ok)
      for (const rule of parsed.ruleSet.rules)
        if (rule.kind === 'zone' && rule.state === 'out')
          out.add(rule.availabilityZone);
    this.zones = {revision, isZoneOut: zone => out.has(zone)};
    return this.zones;
  }
}
