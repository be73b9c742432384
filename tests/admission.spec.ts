import {AdmissionView, admissionRefusal} from '../src/agent/admission';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';
import {rulesText} from '../bench/deployment/rulesText';

function rules(revision: number, zonesOut: readonly string[] = []): RuleIndex {
  const parsed = parseRules(rulesText({revision, zonesOut}));
  if (!parsed.ok) throw new Error('bad rules');
  return new RuleIndex(parsed.ruleSet);
}

const GOOD: AdmissionView = {
  targetId: 'planner-0',
  agentBootId: 'boot',
  availabilityZone: 'zone-a',
  leaving: false,
  changing: false,
  rules: rules(5),
  freshness: {kind: 'proven', ageMs: 10},
  targetReady: true,
};
const UNPROVEN = {kind: 'unproven', ageMs: 3_000} as const;
const DISPATCH = {agentBootId: 'boot', revision: 5};

function reason(
  view: Partial<AdmissionView>,
  dispatch: Partial<typeof DISPATCH> = {}
): string | undefined {
  return admissionRefusal({...GOOD, ...view}, {...DISPATCH, ...dispatch})
    ?.reason;
}

describe('admission at the gate', () => {
  it('should let work in when all holds, also while control is down', () => {
    expect(reason({})).toBeUndefined();
    expect(reason({freshness: {kind: 'control down'}})).toBeUndefined();
    expect(reason({}, {revision: 4})).toBeUndefined();
  });

  // Each of these once let new work reach a target that must get none: it is
  // leaving, another boot than the entry meant, under older rules than the
  // entry's, with no proof of its rules, or in a zone that is out.
  it.each([
    ['target-leaving', {leaving: true}, {}],
    ['target-changed', {changing: true}, {}],
    ['target-changed', {}, {agentBootId: 'an earlier boot'}],
    ['rules-unproven', {rules: undefined}, {}],
    ['rules-unproven', {}, {revision: 6}],
    ['rules-unproven', {freshness: UNPROVEN}, {}],
    ['zone-out', {rules: rules(5, ['zone-a'])}, {}],
    ['target-cold', {targetReady: false}, {}],
  ] as const)(
    'should refuse with %s given %o and %o',
    (expected, view, dispatch) => {
      expect(reason(view, dispatch)).toBe(expected);
    }
  );
});
