import type {PassProfile} from '../src/core/passProfile';
import {GroupLimits} from '../src/policy/admission/groupLimits';
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
            running: 300,
            paceMs: passMs(300, 1.2),
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
