import type {PassProfile} from '../src/core/passProfile';
import {GroupLimits} from '../src/policy/admission/groupLimits';
import type {
  LimitRise,
  LimitRiseInput,
} from '../src/policy/admission/limitRise';
import {nextLimitRise} from '../src/policy/admission/limitRise';
import type {MapOutlook} from '../src/policy/mapOutlook';
import {fixedPassMs, passMsPerRequest} from '../src/policy/passDuration';

const RANKS = 72;
const SLOTS = 7 * RANKS;
const GOALS = {pauseMs: 150, firstEventMs: 500};

const ENGINE: PassProfile = {
  stepsPerPass: 6,
  stepMs: 5.85,
  stepMsPerRequest: 0.8,
  usualReadMs: 30,
  usualAnswerTokens: 139,
  expertShare: 0.85,
};

const AFTER_SHIFT: MapOutlook = {
  skew: 1.2,
  shiftSkew: 3,
  dueSkew: 0,
  isHeld: false,
};

function passMs(running: number, skew: number): number {
  const shape = {engine: ENGINE, ranks: RANKS, skew};
  return fixedPassMs(ENGINE) + running * passMsPerRequest(shape);
}

describe('concurrency limit of a prioritized service', () => {
  // Streams that are admitted right after a shift still run at the next one. All
  // of them paused too long, as the limit was lifted until the shift was due.
  it('should keep the pass after the next shift in time when none is due', () => {
    const limitOf = (isPrioritized: boolean) =>
      new GroupLimits().update({
        engine: ENGINE,
        goals: GOALS,
        groups: [
          {
            name: 'g',
            ranks: RANKS,
            slots: SLOTS,
            running: 0,
            paceMs: 0,
            outlook: AFTER_SHIFT,
          },
        ],
        hasAllReports: true,
        isPrioritized,
        nowMs: 0,
      });
    const limit = limitOf(true).get('g');
    expect(limit?.reason).toBe('shift');
    expect(passMs(limit?.concurrency ?? SLOTS, 3)).toBeLessThan(GOALS.pauseMs);
    expect(limitOf(false).get('g')?.reason).not.toBe('shift');
  });
});

/** Steps every 50 ms; returns the limits. */
function limitsOver(
  inputs: readonly Partial<LimitRiseInput>[],
  start?: LimitRise
): readonly number[] {
  let state = start;
  return inputs.map((input, step) => {
    state = nextLimitRise(state, {
      bound: 500,
      running: 300,
      hasAllReports: true,
      isServedInTime: true,
      nowMs: step * 50,
      ...input,
    });
    return state.limit;
  });
}

const repeated = (input: Partial<LimitRiseInput>, ms: number) =>
  Array.from({length: ms / 50}, () => input);

describe('rise of a concurrency limit', () => {
  // A limit that followed its estimate went from 342 to 504 in half a second.
  it('should rise by at most a tenth in a second, and fall at once', () => {
    const limits = limitsOver([...repeated({}, 2_000), {bound: 310}]);
    for (const [i, limit] of limits.slice(20, -1).entries())
      expect(limit).toBeLessThanOrEqual(limits[i]! * 1.1 + 1e-6);
    expect(limits[39]).toBeGreaterThan(340);
    expect(limits[40]).toBe(310);
  });

  // Guards against a limit that rises on an estimate that nothing confirms.
  it('should not rise while passes are unmeasured or reports are missing', () => {
    for (const input of [{isServedInTime: false}, {hasAllReports: false}]) {
      const limits = limitsOver([{}, ...repeated(input, 2_000)]);
      expect(limits.at(-1)).toBe(300);
    }
  });

  // A new leader took all slots for free until nodes had reported.
  it('should start from the running requests under a new leader', () => {
    const running = [40, 180, 320, 310];
    const limits = limitsOver([
      ...running.map(count => ({running: count, hasAllReports: false})),
      {running: 310, isServedInTime: false},
    ]);
    expect(limits).toEqual([50, 180, 320, 320, 320]);
  });

  // At a tenth a second, the callers of a group that has just formed would be
  // refused for many seconds, and those of a group that had a slow rank.
  it('should open at once for an idle group, and by half after an outage', () => {
    expect(limitsOver([{running: 0}])).toEqual([500]);
    const slow = repeated({bound: 3, isServedInTime: false}, 500);
    const limits = limitsOver([...slow, ...repeated({running: 3}, 500)]);
    expect(limits[9]).toBe(3);
    expect(limits.at(-1)).toBeGreaterThanOrEqual(250);
  });

  // Guards against a limit that follows each pass up and down.
  it('should change its direction at most once in 250 ms', () => {
    const bounds = Array.from({length: 100}, (_, i) => 310 + ((i * 7) % 11));
    const limits = limitsOver(bounds.map(bound => ({bound})));
    expect(turnIntervalsMs(limits).every(ms => ms >= 250)).toBe(true);
    expect(limits.at(-1)).toBeGreaterThanOrEqual(300);
  });
});

/** Times between two changes of direction of limits that are 50 ms apart. */
function turnIntervalsMs(limits: readonly number[]): readonly number[] {
  const moves = limits
    .map((limit, i) => ({i, sign: Math.sign(limit - (limits[i - 1] ?? limit))}))
    .filter(({sign}) => sign !== 0);
  const turns = moves.filter(
    ({sign}, i) => sign !== (moves[i - 1]?.sign ?? sign)
  );
  return turns.slice(1).map(({i}, at) => (i - turns[at]!.i) * 50);
}
