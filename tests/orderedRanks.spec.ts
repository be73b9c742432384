import {xorshift128plus} from 'pure-rand/generator/xorshift128plus';
import type {MapLists} from '../src/ports/rankPort';
import type {SentOrder} from '../src/ranks/switchPhase';
import {RankSwitch} from '../src/ranks/rankSwitch';
import {FakeRankGroup} from './fixtures/fakeRankGroup';

const RANKS = 5;
const STEP_MS = 5;
const FIRST: MapLists = [[[0], [1], [2], [3], [4]]];

function randomOf(seed: number): () => number {
  const generator = xorshift128plus(seed);
  return () => (generator.next() >>> 0) / 2 ** 32;
}

interface Waiting {
  readonly atMs: number;
  run(): void;
}

/** One orderer with the way of its orders and answers. */
class Orderer {
  readonly machine: RankSwitch;
  private waiting: Waiting[] = [];
  private reportAtMs = 0;
  private maps = 0;

  constructor(
    private readonly group: FakeRankGroup,
    private readonly fence: number,
    private readonly random: () => number,
    private readonly lateShare: () => number,
    private readonly isEager: boolean,
    /** Whether all ranks report, also those whose reports are not needed. */
    private readonly readsAll: boolean
  ) {
    const inUse = group.ranks[0]?.map;
    const lists =
      inUse === undefined || inUse.lists === ''
        ? FIRST
        : (JSON.parse(inUse.lists) as MapLists);
    this.machine = new RankSwitch(
      RANKS,
      lists,
      inUse?.version ?? 0,
      fence * 1000 + 1,
      group.nowMs
    );
  }

  step(isAwake: boolean): void {
    const {nowMs} = this.group;
    const due = this.waiting.filter(({atMs}) => atMs <= nowMs);
    this.waiting = this.waiting.filter(({atMs}) => atMs > nowMs);
    for (const {run} of due) run();
    if (!isAwake) return;
    this.send(this.machine.step({kind: 'tick'}, nowMs));
    if (nowMs >= this.reportAtMs) this.readReports();
    const isIdle = this.machine.state.kind === 'idle';
    if (this.isEager && this.random() < 0.01) this.machine.drop(nowMs);
    const share = this.isEager ? 0.5 : 0.02;
    if (isIdle && this.machine.knowsLists && this.random() < share)
      this.send(this.machine.begin(this.nextMap(), 100, nowMs));
  }

  private nextMap(): MapLists {
    this.maps++;
    const shift = (this.fence * 7 + this.maps) % RANKS;
    return [Array.from({length: RANKS}, (_, i) => [(i + shift) % RANKS])];
  }

  private readReports(): void {
    const {nowMs} = this.group;
    this.reportAtMs = nowMs + 100;
    const needed = this.machine.ranksToReport(nowMs);
    this.group.reports().forEach((report, rank) => {
      if (!this.readsAll && !needed.includes(rank)) return;
      const event = {kind: 'report', rank, report, askedAtMs: nowMs} as const;
      this.send(this.machine.step(event, nowMs));
    });
  }

  private send(orders: readonly SentOrder[]): void {
    for (const {rank, order} of orders) {
      const isLate = this.random() < this.lateShare();
      const {nowMs} = this.group;
      const target = this.group.ranks[rank];
      const answerLater = (
        atMs: number,
        answer: () => 'done' | 'refused' | 'fenced' | 'unknown'
      ) =>
        this.waiting.push({
          atMs,
          run: () => {
            const event = {kind: 'answer', rank, order, answer: answer()};
            const now = this.group.nowMs;
            this.send(this.machine.step(event as never, now));
          },
        });
      if (!isLate) {
        answerLater(nowMs + STEP_MS, () => target!.take(order, this.fence));
        continue;
      }
      answerLater(nowMs + 250, () => 'unknown');
      const atMs = nowMs + 2_000 + this.random() * 10_000;
      const run = () => void target?.take(order, this.fence);
      this.waiting.push({atMs, run});
    }
  }
}

type Played = FakeRankGroup & {
  readonly maps: number;
  /** Passes in the last two seconds, when no order is late any more. */
  readonly lastPasses: number;
};

function play(
  seed: number,
  seconds: number,
  {isEager = false, readsAll = false} = {}
): Played {
  const random = randomOf(seed);
  const group = new FakeRankGroup(RANKS);
  const share = [0, 0.1, 0.35, 0.5][seed % 4] ?? 0;
  const lateShare = () => (group.nowMs < seconds * 600 ? share : 0);
  let fence = 1;
  const newOrderer = () =>
    new Orderer(group, fence, random, lateShare, isEager, readsAll);
  const orderers = [newOrderer()];
  group.advance(STEP_MS);
  const versions = new Set<number>();
  let lastPasses = 0;
  while (group.nowMs < seconds * 1_000) {
    group.advance(STEP_MS);
    if (random() < 0.002) group.isIdle = !group.isIdle;
    if (group.nowMs > seconds * 800) group.isIdle = false;
    // A new orderer, while the old one is frozen and may wake up again.
    if (random() < 0.0007) {
      fence++;
      orderers.push(newOrderer());
    }
    orderers.forEach((orderer, i) =>
      orderer.step(i === orderers.length - 1 || random() < 0.05)
    );
    versions.add(group.ranks[0]?.map.version ?? 0);
    if (group.nowMs <= (seconds - 2) * 1_000) lastPasses = group.pass;
  }
  lastPasses = group.pass - lastPasses;
  return Object.assign(group, {maps: versions.size, lastPasses});
}

describe('maps of ranks that order themselves by nobody', () => {
  // Seed 22 once broke it: a new orderer disarmed ranks while the last one's go
  // was on its way. Seed 263: a late go fitted a later hold for the same pass.
  // Seeds 26 and 99: a switch that began before the pass of the last one
  // disarmed it.
  // Orders get no answer and are carried out 2 to 12 s later, after newer ones;
  // orderers are replaced half way, and old ones wake up. A pass in which two
  // ranks used different maps would hand callers wrong tokens.
  it('should never let a pass begin with two maps, whatever comes late', () => {
    for (const readsAll of [true, false])
      for (const seed of [...Array.from({length: 60}, (_, i) => i), 99, 263]) {
        const group = play(seed, 40, {readsAll});
        expect({seed, mixed: group.mixedPasses}).toEqual({seed, mixed: 0});
      }
  });

  // Demand shifts again and again: each switch begins as soon as the last one
  // is let go, and copies under way are given up for newer ones. What the last
  // switch armed must not be undone by the next one's failure.
  it('should never mix maps when switches follow at once or are dropped', () => {
    for (let seed = 0; seed < 120; seed++) {
      const readsAll = seed >= 60;
      const group = play(seed % 60, 40, {isEager: true, readsAll});
      expect({seed, mixed: group.mixedPasses}).toEqual({seed, mixed: 0});
      const goesOn = group.lastPasses > 5;
      const switches = group.maps > 2;
      expect({seed, goesOn, switches}).toEqual({
        seed,
        goesOn: true,
        switches: true,
      });
    }
  });

  // Reports are 200 ms old: they show ranks armed for a switch that is in force
  // already. Taking it back would order the ranks about for nothing, while the
  // next switch waits and passes take twice as long.
  it('should not take its own last switch for one of another orderer', () => {
    const group = new FakeRankGroup(RANKS);
    const orderer = new Orderer(group, 1, randomOf(7), () => 0, true, false);
    const phases = new Set<string>();
    while (group.nowMs < 20_000) {
      group.advance(STEP_MS);
      orderer.step(true);
      phases.add(orderer.machine.state.kind);
    }
    expect(phases).toContain('arming');
    expect(phases).not.toContain('seizing');
  });

  // Safety alone could be had by ordering nothing: maps must come in force, and
  // the group must go on once orders arrive in time again.
  it('should switch maps and keep the group going', () => {
    for (let seed = 1; seed <= 20; seed++) {
      const group = play(seed, 40);
      expect(group.maps).toBeGreaterThan(2);
      expect({seed, goesOn: group.lastPasses > 5}).toEqual({
        seed,
        goesOn: true,
      });
    }
  });

  // Each report of a rank is a call on a connection of its own. With 63 ranks
  // the leader made hundreds a second while a switch went on, and callers' events
  // waited behind them; one rank tells how far all of them are.
  it('should ask one rank while a switch that all have taken goes on', () => {
    const group = new FakeRankGroup(RANKS);
    const orderer = new Orderer(group, 1, randomOf(7), () => 0, true, false);
    const asked = new Map<string, number>();
    while (group.nowMs < 20_000) {
      group.advance(STEP_MS);
      orderer.step(true);
      const {machine} = orderer;
      const due = machine.ranksToReport(group.nowMs);
      const {kind} = machine.state;
      asked.set(kind, Math.max(asked.get(kind) ?? 0, due.length));
    }
    expect(asked.get('holding')).toBe(1);
    expect(asked.get('arming')).toBe(1);
    expect(asked.get('idle')).toBe(RANKS);
  });

  // The leader dies while the group waits for its go. Taking the switch back takes
  // more than a second, in which no stream of the whole group gets an event.
  it.each(['holding', 'arming', 'releasing'] as const)(
    'should let the group go on soon after a leader was lost while %s',
    lost => {
      const group = new FakeRankGroup(RANKS);
      const first = new Orderer(group, 1, randomOf(7), () => 0, true, false);
      while (first.machine.state.kind !== lost || group.nowMs < 2_000) {
        group.advance(STEP_MS);
        first.step(true);
      }
      for (let ms = 0; ms < 300; ms += STEP_MS) group.advance(STEP_MS);
      const next = new Orderer(group, 2, randomOf(8), () => 0, false, false);
      const {pass} = group;
      const sinceMs = group.nowMs;
      while (group.pass < pass + 3 && group.nowMs < sinceMs + 5_000) {
        group.advance(STEP_MS);
        next.step(true);
      }
      expect(group.nowMs - sinceMs).toBeLessThan(450);
      expect(group.mixedPasses).toBe(0);
    }
  );
});
