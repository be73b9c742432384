import type {PassProfile} from '../src/core/passProfile';
import type {GroupLoad} from '../src/policy/groupLimits';
import {GroupLimits} from '../src/policy/groupLimits';
import {EVEN_OUTLOOK, FIRST_MAP_OUTLOOK} from '../src/policy/mapOutlook';
import {
  fixedPassMs,
  promptPassMs,
  requestPassMs,
} from '../src/policy/passLength';

const RANKS = 32;
const SLOTS = 7 * RANKS;
const PAUSE_MS = 120;

const ENGINE: PassProfile = {
  stepsPerPass: 6,
  stepMs: 5.85,
  stepMsPerRequest: 0.426,
  usualReadMs: 14,
  usualAnswerTokens: 139,
  expertShare: 0.85,
};

function passMs(running: number, skew: number): number {
  const shape = {engine: ENGINE, ranks: RANKS, skew};
  return fixedPassMs(ENGINE) + running * requestPassMs(shape);
}

function group(name: string, change: Partial<GroupLoad>): GroupLoad {
  const running = change.running ?? 150;
  return {
    name,
    ranks: RANKS,
    slots: SLOTS,
    running,
    paceMs: passMs(running, 1.2),
    outlook: {...EVEN_OUTLOOK, skew: 1.2},
    ...change,
  };
}

/** Limits after a second of such loads. */
function limitsOf(groups: readonly GroupLoad[], isWhole = true) {
  const limits = new GroupLimits();
  const next = (nowMs: number) =>
    limits.next({
      engine: ENGINE,
      goals: {pauseMs: PAUSE_MS, firstEventMs: 403},
      groups,
      isWhole,
      nowMs,
    });
  for (let nowMs = 0; nowMs < 1_000; nowMs += 50) next(nowMs);
  return next(1_000);
}

describe('concurrency limits of groups that step apart', () => {
  // One rank of 64 is twelve times slower, and its group stands for 0.8 s a pass.
  // With one limit for both groups two thirds of all callers were rejected.
  it('should leave the limit of a group as it is when another one is slow', () => {
    const outlook = {...EVEN_OUTLOOK, skew: 1.2, slowness: 12};
    const limits = limitsOf([
      group('well', {}),
      group('slow', {running: 120, paceMs: 800, outlook}),
    ]);
    expect(limits.get('well')).toMatchObject({
      concurrency: SLOTS,
      reason: 'slots',
    });
    expect(limits.get('slow')?.reason).toBe('slowGroup');
    expect(limits.get('slow')?.concurrency).toBeLessThan(0.1 * SLOTS);
  });

  const slowGroup = (slowness: number) => {
    const outlook = {...EVEN_OUTLOOK, skew: 1.2, slowness};
    const paceMs = slowness * fixedPassMs(ENGINE) + 45;
    return limitsOf([
      group('well', {}),
      group('slow', {running: 95, paceMs, outlook}),
    ]).get('slow');
  };

  // A rank is three times slower: its own part of a pass alone is as long as
  // callers accept, so that even a few streams in its group are late.
  it('should leave a group whose slow rank alone takes too long to probes', () => {
    expect(slowGroup(3.3)?.reason).toBe('slowGroup');
    expect(slowGroup(3.3)?.concurrency).toBeLessThanOrEqual(3);
  });

  // A switch of maps holds passes up, which tells nothing of the group's pace. It
  // must not open a slow group for as long as it goes on.
  it('should keep a slow group closed during a switch of its map', () => {
    const limits = new GroupLimits();
    const at = (nowMs: number, isHeld: boolean) =>
      limits.next({
        engine: ENGINE,
        goals: {pauseMs: PAUSE_MS, firstEventMs: 403},
        groups: [
          group('well', {}),
          group('slow', {
            running: 95,
            paceMs: 400,
            outlook: {...EVEN_OUTLOOK, skew: 1.2, isHeld},
          }),
        ],
        isWhole: true,
        nowMs,
      });
    for (let nowMs = 0; nowMs < 1_000; nowMs += 50) at(nowMs, false);
    expect(at(1_000, true).get('slow')?.reason).toBe('slowGroup');
    expect(at(1_200, true).get('slow')?.reason).toBe('slowGroup');
  });

  // Without streams nothing would show that the rank is well again.
  it('should go on probing a slow group', () => {
    const limits = limitsOf([
      group('well', {}),
      group('slow', {running: 3, paceMs: 500}),
    ]);
    expect(limits.get('slow')?.concurrency).toBeGreaterThanOrEqual(1);
  });

  it('should serve callers late when no group serves them in time', () => {
    const limits = limitsOf([
      group('a', {running: 120, paceMs: 400}),
      group('b', {running: 120, paceMs: 500}),
    ]);
    for (const name of ['a', 'b'])
      expect(limits.get(name)).toEqual(
        expect.objectContaining({concurrency: 0.35 * SLOTS, reason: 'slow'})
      );
  });

  it('should forget what a group that is no more has shown', () => {
    const limits = new GroupLimits();
    const next = (groups: readonly GroupLoad[], nowMs: number) =>
      limits.next({
        engine: ENGINE,
        goals: {pauseMs: PAUSE_MS, firstEventMs: 403},
        groups,
        isWhole: true,
        nowMs,
      });
    const costly = group('g', {running: 100, paceMs: 2 * passMs(100, 1.2)});
    for (let nowMs = 0; nowMs < 1_000; nowMs += 50) next([costly], nowMs);
    next([], 1_000);
    const due = {...EVEN_OUTLOOK, skew: 1.2, dueSkew: 3};
    const unseen = group('g', {running: 0, paceMs: 0, outlook: due});
    const fresh = new GroupLimits().next({
      engine: ENGINE,
      goals: {pauseMs: PAUSE_MS, firstEventMs: 403},
      groups: [unseen],
      isWhole: true,
      nowMs: 1_050,
    });
    expect(next([unseen], 1_050)).toEqual(fresh);
  });
});

describe('a group that opens after an outage', () => {
  // All power was off. Hundreds of callers are back at once, and each brings a
  // prompt: the pass that reads them all lasts longer than callers accept.
  it('should take no more prompts than the next pass can read in time', () => {
    const limit = limitsOf([
      group('g', {running: 0, paceMs: 0, outlook: FIRST_MAP_OUTLOOK}),
    ]).get('g');
    expect(limit?.reason).toBe('prompts');
    const prompts = limit?.concurrency ?? 0;
    const skew = FIRST_MAP_OUTLOOK.skew;
    const readMs = prompts * promptPassMs({engine: ENGINE, ranks: RANKS, skew});
    expect(fixedPassMs(ENGINE) + readMs).toBeLessThan(PAUSE_MS);
    expect(prompts).toBeGreaterThan(RANKS);
  });

  it('should take all that it can run within ten passes', () => {
    let running = 0;
    for (let pass = 0; pass < 10; pass++) {
      const limit = limitsOf([
        group('g', {
          running,
          paceMs: running === 0 ? 0 : passMs(running, 3),
          outlook: FIRST_MAP_OUTLOOK,
        }),
      ]).get('g');
      running = Math.floor(limit?.concurrency ?? 0);
    }
    expect(running).toBeGreaterThan(0.85 * SLOTS);
  });

  it('should bound only a group whose map is not planned yet', () => {
    const outlook = {...EVEN_OUTLOOK, skew: 3};
    const limit = limitsOf([group('g', {running: 0, paceMs: 0, outlook})]);
    expect(limit.get('g')?.reason).toBe('slots');
  });

  // Reports of some nodes are missing: what runs in all is not known.
  it('should not bound requests by the loads of a part of the nodes', () => {
    const limit = limitsOf([group('g', {running: 10})], false).get('g');
    expect(limit?.concurrency).toBe(SLOTS);
    expect(limit?.opening).toBeLessThan(SLOTS);
  });
});
