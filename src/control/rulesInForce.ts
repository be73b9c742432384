/** The committed rules, parsed once a revision. */

import {parseRules} from '../rules/parseRules';
import {RuleIndex} from '../rules/ruleIndex';
import type {RulesState} from './state/rulesState';

/** Reads the rules of one control instance. */
export class CommittedRules {
  private index: RuleIndex | undefined;

  constructor(private readonly state: Pick<RulesState, 'revision' | 'text'>) {}

  /** Undefined before the first file. */
  get(): RuleIndex | undefined {
    const {revision, text} = this.state;
    if (this.index?.revision !== revision) {
      const parsed = parseRules(text);
      this.index = parsed.ok ? new RuleIndex(parsed.ruleSet) : undefined;
    }
    return this.index;
  }
}
