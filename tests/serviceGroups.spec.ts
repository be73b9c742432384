import {computeConcurrency} from '../src/cluster/serviceGroups';
import {GroupLimits} from '../src/policy/groupLimits';
import type {ServiceLoad} from '../src/cluster/messages';
import type {MapOutlook} from '../src/policy/mapOutlook';
import {fixedPassMs, requestPassMs} from '../src/policy/passLength';
import {ShiftHistory} from '../src/policy/shiftHistory';
import type {TargetRecord} from '../src/site/announcement';
import type {EngineProfile, SiteService} from '../src/site/site';

const RANKS = 12;
const SLOTS = 8;
const PAUSE_MS = 120;
const STEP_MS = 50;

const ENGINE: EngineProfile = {
  slots: SLOTS,
  stepsPerPass: 4,
  stepMs: 4.55,
  stepMsPerRequest: 1.3575,
  usualReadMs: 13.6,
  usualAnswerTokens: 97,
  expertShare: 0.85,
  expertSets: 4,
  experts: 72,
  placesPerRank: 8,
  sparePlaces: 3,
  expertCopyMs: 98,
  countsHoldMs: 0,
  formMs: 600,
};

const SERVICE: SiteService = {
  name: 's',
  healthPath: '/',
  maxConnections: 100,
  coldRequestsPerSecond: 0,
  engine: ENGINE,
};

const RECORDS = Array.from({length: RANKS}, (_, rank): TargetRecord => ({
  id: `t-${rank}`,
  bornMs: 1,
  sequence: 1,
  service: 's',
  address: `10.0.0.${rank}:80`,
  availabilityZone: 'a',
  slots: SLOTS,
  state: 'ready',
  coldMs: 0,
  group: {name: 'g', epoch: 1, rank, size: RANKS, open: true},
}));

function passMs(running: number, skew: number): number {
  const cost = requestPassMs({engine: ENGINE, ranks: RANKS, skew});
  return fixedPassMs(ENGINE) + running * cost;
}

function fixture() {
  const limits = new GroupLimits();
  let nowMs = 0;
  /** Places after a second of such passes. */
  const placesAfter = (
    running: number,
    paceMs: number,
    outlook: Partial<MapOutlook>,
    isWhole = true
  ) => {
    const load: ServiceLoad = {
      service: 's',
      inFlight: running,
      waiting: 0,
      arrivals: 0,
      byTarget: {},
      pacesMs: {g: paceMs},
    };
    let places = 0;
    for (let i = 0; i < 1_000 / STEP_MS; i++) {
      nowMs += STEP_MS;
      places = computeConcurrency(limits, {
        service: SERVICE,
        records: RECORDS,
        loads: [load],
        goals: {pauseMs: PAUSE_MS, firstEventMs: 0},
        allNodesReported: isWhole,
        outlookOf: () => ({
          skew: 1.2,
          shiftSkew: 0,
          dueSkew: 0,
          isHeld: false,
          ...outlook,
        }),
        nowMs,
      }).total;
    }
    return places;
  };
  return {placesAfter};
}

describe('places of a group of ranks', () => {
  it('should give all places while no shift is due', () => {
    const {placesAfter} = fixture();
    expect(placesAfter(60, passMs(60, 1.2), {})).toBe(RANKS * SLOTS);
  });

  // Other experts come into demand each three seconds. With all places in use
  // at that moment, every stream has one pause that its caller does not accept.
  it('should bear the next shift with hardly longer pauses', () => {
    const {placesAfter} = fixture();
    const places = placesAfter(60, passMs(60, 1.2), {dueSkew: 3.4});
    expect(passMs(places, 3.4)).toBeLessThan(1.1 * PAUSE_MS);
    expect(places).toBeGreaterThan(0.6 * RANKS * SLOTS);
  });

  // A new leader hears of the nodes one after the other: the pace is that of
  // all requests, and only a part of them is known.
  it('should not judge the cost before all nodes have told their loads', () => {
    expect(fixture().placesAfter(10, 100, {}, false)).toBe(RANKS * SLOTS);
  });

  // Prompts and answers are longer than usual: each request costs a half more
  // than its engine's profile tells, also after the next shift.
  it('should correct the profile by the passes that it sees', () => {
    const {placesAfter} = fixture();
    const cost = passMs(60, 1.2) - fixedPassMs(ENGINE);
    const paceMs = fixedPassMs(ENGINE) + 1.5 * cost;
    const usual = placesAfter(60, passMs(60, 1.2), {dueSkew: 3.4});
    const places = fixture().placesAfter(60, paceMs, {dueSkew: 3.4});
    expect(places).toBeCloseTo(usual / 1.5, 0);
  });

  // All power was lost, and the group forms anew with its first map. Nobody orders
  // it yet; with all places in use passes take twice as long as callers accept.
  it('should allow for the first map while nobody orders maps', () => {
    const load = {
      service: 's',
      inFlight: 0,
      waiting: 100,
      arrivals: 0,
      byTarget: {},
      pacesMs: {},
    };
    const places = computeConcurrency(new GroupLimits(), {
      service: SERVICE,
      records: RECORDS,
      loads: [load],
      goals: {pauseMs: PAUSE_MS, firstEventMs: 0},
      allNodesReported: false,
      outlookOf: () => undefined,
      nowMs: 0,
    }).total;
    expect(passMs(places, 3)).toBeLessThan(PAUSE_MS);
  });

  // A switch holds the group before a pass. Streams show one long pause, which
  // says nothing of the cost of a request: half of the callers were refused for
  // the six seconds after it.
  it('should not take the hold of a switch for a slow group', () => {
    const {placesAfter} = fixture();
    placesAfter(60, passMs(60, 1.2), {});
    expect(placesAfter(60, 118, {isHeld: true})).toBe(RANKS * SLOTS);
    expect(placesAfter(60, passMs(60, 1.2), {})).toBe(RANKS * SLOTS);
  });

  // The shift is there, and passes are as long as callers bear: nobody more.
  it('should let no more in while passes are too long', () => {
    const {placesAfter} = fixture();
    expect(placesAfter(90, 135, {})).toBeLessThan(90);
  });
});

describe('shifts that are due', () => {
  // All power was lost. The group stands under its first map, its demand is not
  // known yet, and all callers come back: passes are as long as after a shift.
  it('should expect a usual shift before any was seen', () => {
    const memory = new ShiftHistory(0, 0);
    expect(memory.due(100)).toBe(3);
    expect(memory.due(13_000)).toBe(0);
  });

  it('should go on with what an earlier leader told', () => {
    expect(new ShiftHistory(3.4, 0).due(100)).toBe(3.4);
  });

  // After a shift a backlog waits. The next one is three seconds away: until
  // then the group may run all it can, and only then runs fewer.
  it('should expect none sooner than they came before', () => {
    const memory = new ShiftHistory(3.4, 0);
    for (const atMs of [3_400, 6_800]) memory.note(3.4, atMs);
    expect(memory.due(7_500)).toBe(0);
    expect(memory.due(9_100)).toBe(0);
    expect(memory.due(9_300)).toBe(3.4);
    expect(memory.due(12_000)).toBe(3.4);
  });

  it('should go by the shortest pause, and by large shifts only', () => {
    const memory = new ShiftHistory(3.4, 0);
    memory.note(1.4, 500);
    memory.note(3.2, 2_000);
    memory.note(3.3, 6_000);
    expect(memory.due(6_500)).toBe(0);
    expect(memory.due(7_000)).toBe(3.4);
  });

  it('should forget shifts that come no more', () => {
    const memory = new ShiftHistory(3.4, 0);
    expect(memory.due(13_000)).toBe(0);
  });
});
