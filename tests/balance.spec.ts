import {
  chooseSampledTarget,
  requestCost,
  type RoutedRequest,
  type TargetView,
} from '../src/policy/sampledTargetChoice';
import {SeededRandom} from '../bench/fuzz/schedule';

const REQ: RoutedRequest = {
  promptTokens: 1000,
  outputTokens: 300,
  availabilityZone: 'zone-a',
};

function view(targetId: string, fields: Partial<TargetView> = {}): TargetView {
  return {
    targetId,
    availabilityZone: 'zone-a',
    temperature: 'warm',
    limit: 32,
    reportedOutstanding: 16,
    reportedQueued: 0,
    reportedTokens: 16 * 300,
    reportAgeMs: 100,
    ownOutstanding: 5,
    ownTokens: 1500,
    ownSinceReport: 0,
    prefixTokens: 0,
    recentFailures: 0,
    groupStraggle: 1,
    ...fields,
  };
}

/** Counts how often each target is chosen in a thousand choices. */
function counts(targets: readonly TargetView[]): ReadonlyMap<string, number> {
  const random = new SeededRandom(7);
  const result = new Map<string, number>();
  for (let i = 0; i < 1000; i++) {
    const chosen = chooseSampledTarget(REQ, targets, () => random.next());
    const id = chosen?.targetId ?? 'none';
    result.set(id, (result.get(id) ?? 0) + 1);
  }
  return result;
}

const chosenMost = (targets: readonly TargetView[]) =>
  [...counts(targets)].sort((a, b) => b[1] - a[1])[0]?.[0];

describe('choice of a target by a sample', () => {
  it('should choose none when every limit is 0', () => {
    expect(chooseSampledTarget(REQ, [], () => 0)).toBeUndefined();
    const out = [view('a', {limit: 0}), view('b', {limit: 0})];
    expect(chooseSampledTarget(REQ, out, () => 0)).toBeUndefined();
  });

  it.each([
    ['fewer outstanding requests', {reportedOutstanding: 8}],
    ['its prompt prefix cached', {prefixTokens: 900}],
    ['a larger limit', {limit: 64}],
  ])('should prefer a target with %s', (_why, fields) => {
    expect(chosenMost([view('a'), view('b', fields), view('c')])).toBe('b');
  });

  it.each([
    ['a straggler in its group', {groupStraggle: 2}],
    ['recent failures', {recentFailures: 3}],
    ['a location in another zone', {availabilityZone: 'zone-b'}],
    ['requests sent since its report', {ownSinceReport: 6}],
    ['a queue', {reportedQueued: 8}],
    ['prompts sent a moment ago', {ownPromptTokens: 2000}],
  ])('should avoid a target with %s', (_why, fields) => {
    const chosen = counts([view('a', fields), view('b')]);
    expect(chosen.get('a') ?? 0).toBeLessThan(chosen.get('b') ?? 0);
  });

  // A flood is queued at every target, at one a little longer. The fair queue lets a
  // small customer pass it, but pending prompts at the engine would delay it.
  it("should weigh a flood's backlog less than pending prompts", () => {
    const full = {reportedOutstanding: 32, reportedQueued: 32};
    const longer = view('a', {...full, reportedQueued: 48});
    const prompts = view('b', {...full, ownPromptTokens: 1500});
    expect(chosenMost([longer, prompts])).toBe('a');
    expect(chosenMost([longer, view('b', full)])).toBe('b');
  });

  it('should choose another zone when the local target is loaded', () => {
    const local = view('local', {reportedOutstanding: 30});
    const remote = view('remote', {availabilityZone: 'zone-b'});
    expect(chosenMost([local, remote])).toBe('remote');
  });

  it('should not send all requests to the one target that looks idle', () => {
    // Several entries have the same report, seconds old, of one idle target among
    // twenty. If each sent everything there, it would become the most loaded target
    // long before its next report.
    const idle = view('idle', {reportedOutstanding: 0, reportAgeMs: 3000});
    const others = Array.from({length: 19}, (_, i) =>
      view(`t${i}`, {reportAgeMs: 3000})
    );
    const part = (counts([idle, ...others]).get('idle') ?? 0) / 1000;
    expect(part).toBeLessThan(0.3);
  });

  it('should find the one of many targets that has the prefix cached', () => {
    const holder = view('holder', {prefixTokens: 900});
    const others = Array.from({length: 19}, (_, i) => view(`t${i}`));
    expect(counts([holder, ...others]).get('holder')).toBe(1000);
    const busy = {...holder, reportedOutstanding: 24};
    expect(counts([busy, ...others]).get('holder') ?? 0).toBe(0);
  });

  it('should weigh an old report less than a new one', () => {
    const idleLongAgo = {reportedOutstanding: 4, reportAgeMs: 20_000};
    const lately = view('lately', {reportedOutstanding: 6});
    const others = [view('a'), view('b')];
    const longAgo = view('longAgo', idleLongAgo);
    expect(chosenMost([longAgo, lately, ...others])).toBe('lately');
  });

  it('should send a cold target no more than its limit', () => {
    const cold = view('cold', {
      temperature: 'cold',
      limit: 4,
      reportedOutstanding: 1,
      ownOutstanding: 3,
      ownSinceReport: 3,
    });
    const busy = view('busy', {reportedOutstanding: 60, reportedQueued: 40});
    expect(counts([cold, busy]).get('cold') ?? 0).toBe(0);
  });

  it('should choose a target of a returning zone by its reduced weight', () => {
    const returning = view('back', {
      returnWeight: 0.1,
      reportedOutstanding: 0,
      ownOutstanding: 0,
    });
    const others = Array.from({length: 9}, (_, i) => view(`t${i}`));
    const weighed = counts([returning, ...others]).get('back') ?? 0;
    const usual = {...returning, returnWeight: 1};
    const unweighed = counts([usual, ...others]).get('back') ?? 0;
    expect(weighed).toBeLessThan(unweighed / 2);
  });

  it('should exclude cached prompt tokens from the cost', () => {
    expect(requestCost(REQ)).toBeGreaterThan(requestCost(REQ, 900));
    expect(requestCost({promptTokens: 0, outputTokens: 0})).toBe(1);
  });
});
