/**
 * Runs the expert maps of one group in one life: reads what is in demand,
 * plans, and carries switches out. Only the leader runs one.
 */

import type {Logger} from '../core/logger';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {
  MapLists,
  OrderScope,
  RankCall,
  RankCodec,
} from '../ports/rankPort';
import type {EngineProfile} from '../site/site';
import {copiesARank} from '../policy/copyLimit';
import {planSpread, spreadSkew} from '../policy/expertSpread';
import type {MapOutlook} from '../policy/mapOutlook';
import type {SkewMemory} from '../policy/skewMemory';
import type {DueReading} from './demandWatch';
import {DemandWatch} from './demandWatch';
import type {DemandChange, RankCounts} from './expertDemand';
import {ExpertDemand} from './expertDemand';
import {callRank} from './rankClient';
import type {SentOrder} from './switchPhase';
import {RankSwitch} from './rankSwitch';

/** Reports are read this often while a switch goes on. */
const REPORT_PERIOD_MS = 100;
/** And this often otherwise, to find holds that came late. */
const IDLE_REPORT_PERIOD_MS = 2_000;
/**
 * Fall of the mean skew of the sets that a switch must bring where passes last
 * as long as callers bear; twice that where they last half as long. Two dozen
 * copies and three dozen orders cost what a group earns in a tenth of a second.
 */
const LEAST_GAIN = 0.2;
/** The same for one copy of an expert; see `planSpread`. */
const GAIN_PER_COPY = 0.01;
/**
 * Ranks whose counts are read together, at least; see `ExpertDemand`. Large
 * groups have more experts to tell apart, and fewer requests a rank, so that
 * the counts of few ranks make plans for what only their requests ask for.
 */
const SAMPLE_RANKS = 3;
const RANKS_FOR_EACH_SAMPLE = 8;
/** Pauses that streams show are still those of a switch for so long. */
const HELD_SHOWS_MS = 250;
/** Between two tries to read the map in use. */
const LOAD_PERIOD_MS = 200;

/** One rank of the group. */
export interface GroupRank {
  readonly id: string;
  /** HOST:PORT */
  readonly address: string;
}

/** What the controller of a group needs. */
export interface GroupParts {
  readonly name: string;
  readonly engine: EngineProfile;
  readonly scope: OrderScope;
  readonly ranks: readonly GroupRank[];
  readonly codec: RankCodec;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  /** Length of a pass as this node's streams show it; 0 when none runs. */
  paceMs(): number;
  /** Longest pause between events that callers accept; 0 when none is set. */
  readonly acceptedPauseMs: number;
  /** As the group's last life showed it. */
  readonly demand?: ExpertDemand;
  readonly shifts: SkewMemory;
}

/** Versions of one orderer are apart from those of all others. */
const VERSIONS_PER_FENCE = 100_000;

/** One group in one epoch, under one leader. */
export class GroupController {
  readonly demand: ExpertDemand;
  /** Absent until the map in use was read. */
  private machine: RankSwitch | undefined;
  /** Ranks refuse a version that they had before, also one given up. */
  private firstVersion = 0;
  private isLoading = false;
  private loadedAtMs = -Infinity;
  private readonly watch = new DemandWatch();
  /** Where the sample of ranks begins. */
  private firstRank = 0;
  /** Whether what is in demand is known and not planned for yet. */
  private isPlanDue = false;
  private wasSwitching = false;
  private lastReportsMs = -Infinity;
  private nextVersionSeen = '';
  private isPlanning = false;
  /** Whether the next plan answers a shift. */
  private isShifted = false;
  private skewInForce = 1;
  /** Whether a plan answered what is in demand in this life of the group. */
  private hasPlanned = false;
  private heldAtMs = -Infinity;

  constructor(private readonly parts: GroupParts) {
    const {engine} = parts;
    const {expertSets, experts} = engine;
    const known = parts.demand?.fits(expertSets, experts)
      ? parts.demand
      : undefined;
    this.demand = known ?? new ExpertDemand(expertSets, experts);
    this.isPlanDue = known !== undefined;
  }

  /** Whether another orderer took over. */
  get isFenced(): boolean {
    return this.machine?.isFenced === true;
  }

  /** What is known of the length of passes to come. */
  outlook(nowMs: number): MapOutlook {
    const {shifts} = this.parts;
    return {
      skew: this.skewInForce,
      shiftSkew: shifts.worst(nowMs),
      dueSkew: this.hasPlanned ? shifts.due(nowMs) : shifts.worst(nowMs),
      isHeld: nowMs - this.heldAtMs < HELD_SHOWS_MS,
    };
  }

  /** Regular work, every few tens of milliseconds. */
  tick(nowMs: number): void {
    const {machine} = this;
    if (machine === undefined) {
      void this.load(nowMs);
      return;
    }
    machine.notePace(this.parts.paceMs());
    this.send(machine.step({kind: 'tick'}, nowMs));
    const {kind} = machine.state;
    // One switch takes few copies; the next one does the rest at once.
    if (kind === 'idle' && this.wasSwitching) this.isPlanDue = true;
    this.wasSwitching = kind !== 'idle';
    if (kind !== 'idle' && kind !== 'preparing') this.heldAtMs = nowMs;
    if (kind === 'idle' && !machine.knowsLists) {
      this.firstVersion = machine.unusedVersion;
      this.machine = undefined;
      return;
    }
    const isBusy = kind !== 'idle' || !machine.isReady(nowMs);
    const periodMs = isBusy ? REPORT_PERIOD_MS : IDLE_REPORT_PERIOD_MS;
    if (nowMs - this.lastReportsMs >= periodMs) {
      this.lastReportsMs = nowMs;
      this.readReports();
    }
    const due = this.watch.next(this.parts.paceMs(), nowMs);
    if (due !== undefined) void this.look(due);
    if (this.isPlanDue) void this.plan();
  }

  /** Reads the map in use from all ranks; an earlier orderer may have set it. */
  private async load(nowMs: number): Promise<void> {
    if (this.isLoading || nowMs - this.loadedAtMs < LOAD_PERIOD_MS) return;
    this.isLoading = true;
    this.loadedAtMs = nowMs;
    const {ranks, codec, scope, engine} = this.parts;
    const maps = await Promise.all(
      ranks.map(async ({address}) => {
        const answer = await callRank(address, codec.mapCall());
        return answer?.status === OK ? codec.readMap(answer.text) : undefined;
      })
    );
    this.isLoading = false;
    const [first] = maps;
    const isOneMap = maps.every(
      map => map?.epoch === scope.epoch && map.version === first?.version
    );
    if (!isOneMap || first === undefined) return;
    const lists = Array.from({length: engine.expertSets}, (_, set) =>
      maps.map(map => map?.experts[set] ?? [])
    );
    this.machine = new RankSwitch(
      ranks.length,
      lists,
      first.version,
      Math.max(
        scope.fence * VERSIONS_PER_FENCE + 1,
        first.version + 1,
        this.firstVersion
      ),
      performance.now()
    );
  }

  private async look(due: DueReading): Promise<void> {
    const readings = await this.read(due);
    const change = this.take(due, readings);
    this.watch.took(due, change, performance.now());
    const {name, logger} = this.parts;
    const {scope, isBegin} = due;
    const {filled} = this.demand;
    logger.info(
      {event: 'map.looked', group: name, scope, isBegin, change, filled},
      change
    );
    // A zone that is out, or that nobody can reach, has no requests, and the
    // counts of its ranks stand still.
    if (this.watch.isEmpty) this.firstRank++;
    if (change !== 'shifted' && change !== 'same') return;
    // What is being copied answers a demand that is no more.
    if (change === 'shifted') this.machine?.drop(performance.now());
    this.isShifted ||= change === 'shifted';
    this.isPlanDue = true;
  }

  private take(due: DueReading, readings: readonly RankCounts[]): DemandChange {
    if (!due.isBegin) return this.demand.note(readings, due.isRecent);
    this.demand.begin(readings);
    return 'nothing';
  }

  private async read({scope}: DueReading): Promise<readonly RankCounts[]> {
    const {ranks} = this.parts;
    const all = Math.max(
      SAMPLE_RANKS,
      Math.round(ranks.length / RANKS_FOR_EACH_SAMPLE)
    );
    const size = scope === 'one' ? 1 : all;
    const stride = Math.floor(ranks.length / all) + 1;
    const sample = Array.from(
      {length: size},
      (_, i) => ranks[(this.firstRank + i * stride) % ranks.length]
    );
    const readings = await Promise.all(
      [...new Set(sample)].map(rank => this.readRank(rank))
    );
    return readings.flatMap(reading => reading ?? []);
  }

  private async readRank(
    rank: GroupRank | undefined
  ): Promise<RankCounts | undefined> {
    if (rank === undefined) return undefined;
    const {codec, logger, scope, name} = this.parts;
    const answer = await callRank(rank.address, codec.countsCall());
    const counts =
      answer?.status === OK ? codec.readCounts(answer.text) : undefined;
    if (counts !== undefined && counts.epoch === scope.epoch)
      return {rankId: rank.id, counts};
    logger.info(
      {event: 'map.unread', group: name, rank: rank.id},
      'counts not read'
    );
    return undefined;
  }

  private async plan(): Promise<void> {
    const {machine} = this;
    if (machine?.isReady(performance.now()) !== true || this.isPlanning) return;
    this.isPlanning = true;
    this.isPlanDue = false;
    const plan = await this.planSets(machine.lists);
    this.isPlanning = false;
    const {before, after, copies, copiesOnRank, lists} = plan;
    this.skewInForce = before;
    this.hasPlanned = true;
    if (this.isShifted) this.parts.shifts.note(before, performance.now());
    this.isShifted = false;
    if (!this.isWorth(before - after)) return;
    this.parts.logger.info(
      {event: 'map.planned', group: this.parts.name, before, after, copies},
      'switching expert maps'
    );
    this.parts.metrics.switched(this.parts.name);
    const copyMs = copiesOnRank * this.parts.engine.expertCopyMs;
    this.send(machine.begin(lists, copyMs, performance.now()));
  }

  /** A skew hurts the more, the nearer passes are to what callers bear. */
  private isWorth(gain: number): boolean {
    const {paceMs, acceptedPauseMs} = this.parts;
    const strain = acceptedPauseMs === 0 ? 1 : paceMs() / acceptedPauseMs;
    return gain * Math.min(1, strain) >= LEAST_GAIN;
  }

  /** The sets with the highest skew come first: ranks take few copies in all. */
  private async planSets(current: MapLists): Promise<GroupPlan> {
    const {engine} = this.parts;
    const slowness = this.machine?.slowness ?? [];
    const skews = this.skewsOf(current, slowness);
    const before = meanOf(skews);
    const perRank = copiesARank({
      skew: before,
      skewIfInOrder: meanOf(this.skewsOf(current)),
      copyMs: engine.expertCopyMs,
    });
    const left = (current[0] ?? []).map(() => perRank);
    const lists = [...current];
    let copies = 0;
    const order = skews
      .map((skew, set) => ({skew, set}))
      .sort((a, b) => b.skew - a.skew);
    for (const [position, {set}] of order.entries()) {
      const plan = planSpread(current[set] ?? [], this.demand.ofSet(set), {
        places: engine.placesPerRank,
        newOnRank: left.map(count => Math.min(count, engine.sparePlaces)),
        minGainPerCopy: GAIN_PER_COPY,
        // An even part of what all ranks take in, for each set that is left.
        maxCopies: Math.ceil(sum(left) / (order.length - position)),
        slowness,
      });
      plan.lists.forEach((list, rank) => {
        const held = current[set]?.[rank] ?? [];
        const fresh = list.filter(expert => !held.includes(expert)).length;
        left[rank] = (left[rank] ?? 0) - fresh;
      });
      lists[set] = plan.lists;
      skews[set] = plan.skewAfter;
      copies += plan.copies;
      await new Promise(resolve => setImmediate(resolve));
    }
    const copiesOnRank = perRank - Math.min(...left);
    return {lists, before, after: meanOf(skews), copies, copiesOnRank};
  }

  private readReports(): void {
    const {ranks, codec} = this.parts;
    const {machine} = this;
    ranks.forEach(({address}, rank) => {
      const askedAtMs = performance.now();
      if (machine?.needsReport(rank, askedAtMs) !== true) return;
      void callRank(address, codec.reportCall()).then(answer => {
        const report =
          answer?.status === OK ? codec.readReport(answer.text) : undefined;
        if (report === undefined) return;
        const event = {kind: 'report', rank, report, askedAtMs} as const;
        this.send(this.machine?.step(event, performance.now()) ?? []);
      });
    });
  }

  private send(orders: readonly SentOrder[]): void {
    this.logPhase();
    for (const sent of orders) void this.sendOne(sent);
  }

  private async sendOne({rank, order}: SentOrder): Promise<void> {
    const {ranks, codec, scope, logger, name, metrics} = this.parts;
    const call: RankCall = codec.orderCall(order, scope);
    const result = await callRank(ranks[rank]?.address ?? '', call);
    const answer =
      result === undefined ? 'unknown' : codec.readOrderStatus(result.status);
    const {kind} = order;
    metrics.ordered(kind, answer);
    if (answer !== 'done') {
      const detail = result?.text;
      logger.info(
        {event: 'map.order', group: name, rank, kind, answer, detail},
        'order not taken'
      );
    }
    const event = {kind: 'answer', rank, order, answer} as const;
    this.send(this.machine?.step(event, performance.now()) ?? []);
  }

  private logPhase(): void {
    const {machine} = this;
    if (machine === undefined) return;
    const {state} = machine;
    const pass = 'pass' in state ? state.pass : undefined;
    const version = 'version' in state ? state.version : undefined;
    const text = `${state.kind} ${version} ${pass}`;
    if (text === this.nextVersionSeen) return;
    this.nextVersionSeen = text;
    const {name, scope, logger} = this.parts;
    const skew = this.skew();
    this.skewInForce = skew;
    logger.info(
      {event: 'map.phase', group: name, ...scope, phase: text, skew},
      state.kind
    );
  }

  /** Mean over the sets of the highest load over the mean. */
  private skew(): number {
    const {machine} = this;
    if (machine === undefined) return 0;
    const {lists, slowness} = machine;
    return meanOf(this.skewsOf(lists, slowness));
  }

  /** Highest load over the mean, by set; ranks are in order when not told. */
  private skewsOf(lists: MapLists, slowness?: readonly number[]): number[] {
    return lists.map((ofSet, set) =>
      spreadSkew(ofSet, this.demand.ofSet(set), slowness)
    );
  }
}

const OK = 200;

/** A plan for all sets. */
interface GroupPlan {
  readonly lists: MapLists;
  /** Mean skew of the sets. */
  readonly before: number;
  readonly after: number;
  readonly copies: number;
  /** Most copies that one rank makes. */
  readonly copiesOnRank: number;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function meanOf(values: readonly number[]): number {
  return sum(values) / Math.max(1, values.length);
}
