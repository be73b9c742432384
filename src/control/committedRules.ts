/** The committed rules, parsed once per revision. */

import {parseRules} from '../rules/parseRules';
import {RuleIndex} from '../rules/ruleIndex';
import type {RulesState} from './state/rulesState';

/** Gives access to the rules that are committed on one control instance. */
export class CommittedRules {
  private index: RuleIndex | undefined;

  constructor(private readonly state: Pick<RulesState, 'revision' | 'text'>) {}

  /** Undefined until a rule file is committed. */
  get(): RuleIndex | undefined {
    const {revision, text} = this.state;
    if (this.index?.revision !== revision) {
      const parsed = parseRules(text);
      this.index = parsed.ok ? new RuleIndex(parsed.ruleSet) : undefined;
    }
    return this.index;
  }
}
