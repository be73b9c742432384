import {readFileSync, readdirSync} from 'node:fs';
import path from 'node:path';
import {loadSettings} from '../src/settings/loadSettings';
import type {SettingsRole} from '../src/settings/sections';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';

const EXAMPLES = path.join(__dirname, '..', 'examples');
const EXAMPLE_FILES = readdirSync(EXAMPLES, {
  recursive: true,
  encoding: 'utf8',
});
const SETTINGS_FILES = EXAMPLE_FILES.filter(name => name.endsWith('.ini'));
const RULE_FILES = EXAMPLE_FILES.filter(name => name.endsWith('.rules'));

function roleOf(file: string): SettingsRole {
  return path.basename(file, '.ini').split('-')[0] as SettingsRole;
}

describe('examples', () => {
  it('should cover both deployments and every role', () => {
    expect(RULE_FILES).toHaveLength(2);
    expect(SETTINGS_FILES.map(roleOf).sort()).toEqual(
      ['agent', 'agent', 'agent', 'agent', 'client', 'client']
        .concat(['control', 'control', 'entry', 'entry'])
        .sort()
    );
  });

  it.each(SETTINGS_FILES)('should load %s', file => {
    loadSettings(roleOf(file), path.join(EXAMPLES, file));
  });

  it.each(RULE_FILES)(
    'should read %s, with routes for every customer',
    file => {
      const text = readFileSync(path.join(EXAMPLES, file), 'utf8');
      const result = parseRules(text);
      expect(result).toMatchObject({ok: true});
      if (!result.ok) return;
      const index = new RuleIndex(result.ruleSet);
      const customers = result.ruleSet.rules.filter(r => r.kind === 'customer');
      expect(customers).toHaveLength(10);
      for (const {customer} of customers)
        expect(index.routes(customer, '/v1/chat/completions')).toHaveLength(1);
      const once = result.ruleSet.rules.filter(rule => rule.kind === 'once');
      expect(once.every(rule => rule.key === 'required')).toBe(true);
    }
  );

  it.each(SETTINGS_FILES.filter(file => roleOf(file) === 'agent'))(
    'should name a pool of the rule file in %s',
    file => {
      const settingsFile = path.join(EXAMPLES, file);
      const {target} = loadSettings('agent', settingsFile);
      const rulesFile = path.join(path.dirname(settingsFile), 'site.rules');
      const result = parseRules(readFileSync(rulesFile, 'utf8'));
      const index = result.ok ? new RuleIndex(result.ruleSet) : undefined;
      expect(index?.poolKind(target.pool)).toBe(target.kind);
    }
  );
});
