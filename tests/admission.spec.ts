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
  it('should admit a request when all conditions hold, also while control is down', () => {
    expect(reason({})).toBeUndefined();
    expect(reason({freshness: {kind: 'control down'}})).toBeUndefined();
    expect(reason({}, {revision: 4})).toBeUndefined();
  });

  // Guards against new requests at a target that must not get any: it is
  // leaving or changing its model, the dispatch was sent to another boot, the
  // rules are older than the entry's or not proven, the zone is out, or it is
  // not ready.
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
