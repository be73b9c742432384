/**
 * Runs the expert maps of one group in one life: reads what is in demand,
 * plans, and carries switches out. Only the leader runs one.
 */

import type {Logger} from '../core/logger';
import {rounded} from '../core/rounded';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {OrderScope, RankCodec, RankMap} from '../ports/rankPort';
import type {EngineProfile} from '../site/site';
import type {MapOutlook} from '../policy/mapOutlook';
import type {ShiftHistory} from '../policy/shiftHistory';
import {fixedPassMs, requestPassMs} from '../policy/passLength';
import {DemandSampler} from './demandSampler';
import {planMap} from './mapPlan';
import type {DueReading, Pace} from './shiftDetector';
import {ShiftDetector} from './shiftDetector';
import type {DemandChange, RankCounts} from './expertDemand';
import {ExpertDemand} from './expertDemand';
import {OrderSender} from './orderSender';
import type {RankAnswer} from './rankClient';
import {isOk} from './rankClient';
import type {RankCaller} from './rankCaller';
import type {SentOrder} from './switchPhase';
import {RankSwitch} from './rankSwitch';

/** Reports are read this often while a switch goes on. */
const REPORT_PERIOD_MS = 100;
/** And this often otherwise, to find holds that came late. */
const IDLE_REPORT_PERIOD_MS = 2_000;
/**
 * Fall of the mean skew of the sets that a switch must bring where passes last
 * as long as callers accept; twice that where they last half as long.
 */
const MIN_GAIN = 0.2;
/** Pauses that streams show are still those of a switch for so long. */
const HELD_SHOWS_MS = 250;
/** Between two tries to read the map in use. */
const LOAD_PERIOD_MS = 200;

/** One rank of the group. */
export interface GroupRank {
  readonly id: string;
  /** HOST:PORT */
  readonly address: string;
  readonly availabilityZone: string;
}

/** What the controller of a group needs. */
export interface GroupParts {
  readonly name: string;
  readonly engine: EngineProfile;
  readonly scope: OrderScope;
  readonly ranks: readonly GroupRank[];
  readonly codec: RankCodec;
  readonly caller: RankCaller;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  /** Length of a pass as streams show it; 0 when none runs. */
  paceMs(): number;
  /** Requests of all nodes that run in the group now. */
  running(): number;
  /** Longest pause between events that callers accept; 0 when none is set. */
  readonly acceptedPauseMs: number;
  /** As the group's last life showed it. */
  readonly demand?: ExpertDemand;
  readonly shifts: ShiftHistory;
}

/** Versions of one leader are apart from those of all others. */
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
  private readonly watch: ShiftDetector;
  private readonly sampler: DemandSampler;
  /** Whether what is in demand is known and not planned for yet. */
  private isPlanDue = false;
  private wasSwitching = false;
  private lastReportsMs = -Infinity;
  private nextVersionSeen = '';
  private isPlanning = false;
  /** Whether the next plan answers a shift. */
  private isShifted = false;
  private skewInForce = 1;
  /** Skew under the map that is being switched to. */
  private plannedSkew = 1;
  /** Whether a plan answered what is in demand in this life of the group. */
  private hasPlanned = false;
  private heldAtMs = -Infinity;
  private readonly sender: OrderSender;

  constructor(private readonly parts: GroupParts) {
    const {engine} = parts;
    const {expertSets, experts} = engine;
    this.sampler = new DemandSampler(parts);
    this.sender = new OrderSender(parts, event =>
      this.send(this.machine?.step(event, performance.now()) ?? [])
    );
    this.watch = new ShiftDetector(this.sampler.holdMs);
    const known = parts.demand?.fits(expertSets, experts)
      ? parts.demand
      : undefined;
    this.demand = known ?? new ExpertDemand(expertSets, experts);
    this.isPlanDue = known !== undefined;
  }

  /** Whether a newer leader has fenced it off. */
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
    if (machine.isReady(nowMs) && !machine.knowsLists) {
      this.firstVersion = machine.unusedVersion;
      this.machine = undefined;
      return;
    }
    const isBusy = kind !== 'idle' || !machine.isReady(nowMs);
    const periodMs = isBusy ? REPORT_PERIOD_MS : IDLE_REPORT_PERIOD_MS;
    if (nowMs - this.lastReportsMs >= periodMs) {
      this.lastReportsMs = nowMs;
      this.readReports(machine.ranksToReport(nowMs));
    }
    const due = this.watch.next(this.pace(), nowMs);
    if (due !== undefined) void this.look(due);
    if (this.isPlanDue) void this.plan();
  }

  /** Reads the map in use from all ranks; an earlier leader may have set it. */
  private async load(nowMs: number): Promise<void> {
    if (this.isLoading || nowMs - this.loadedAtMs < LOAD_PERIOD_MS) return;
    this.isLoading = true;
    this.loadedAtMs = nowMs;
    const {ranks, codec, scope, engine, caller} = this.parts;
    const maps: (RankMap | undefined)[] = ranks.map(() => undefined);
    const summary = await caller.callAll(
      ranks,
      'map',
      codec.mapCall(),
      (rank, answer) => {
        const map = isOk(answer) ? codec.readMap(answer.text) : undefined;
        maps[ranks.indexOf(rank)] = map;
      }
    );
    this.isLoading = false;
    this.sender.logFanOut('map', summary);
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
    const readings = await this.sampler.read();
    const change = this.take(due, readings);
    this.watch.took(due, change, performance.now());
    const {name, logger} = this.parts;
    const {isBegin} = due;
    const {filled, shiftRatio} = this.demand;
    logger.info(
      {
        event: 'map.sampled',
        group: name,
        isBegin,
        change,
        filled,
        shiftRatio,
        ...rounded({...this.pace()}),
      },
      change
    );
    // A zone that is out, or that nobody can reach, has no requests, and the
    // counts of its ranks stand still.
    if (this.watch.isEmpty) this.sampler.moveOn();
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

  private pace(): Pace {
    const {engine, ranks, paceMs, running} = this.parts;
    const skew = this.skewInForce;
    const requestMs = requestPassMs({engine, ranks: ranks.length, skew});
    const forecastMs = fixedPassMs(engine) + running() * requestMs;
    return {passMs: paceMs(), forecastMs};
  }

  private async plan(): Promise<void> {
    const {machine} = this;
    if (machine?.isReady(performance.now()) !== true || this.isPlanning) return;
    this.isPlanning = true;
    this.isPlanDue = false;
    const {engine} = this.parts;
    const {lists: current, slowness} = machine;
    const plan = await planMap({
      current,
      demand: this.demand,
      engine,
      slowness,
    });
    this.isPlanning = false;
    const {before, after, copies, copiesOnRank, lists} = plan;
    this.skewInForce = before;
    this.plannedSkew = after;
    this.hasPlanned = true;
    // A slow rank says nothing of the skew that the next shift will bring.
    if (this.isShifted)
      this.parts.shifts.note(plan.beforeIfInOrder, performance.now());
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

  /** A skew costs more, the nearer passes are to the accepted pause. */
  private isWorth(gain: number): boolean {
    const {paceMs, acceptedPauseMs} = this.parts;
    const strain = acceptedPauseMs === 0 ? 1 : paceMs() / acceptedPauseMs;
    return gain * Math.min(1, strain) >= MIN_GAIN;
  }

  private readReports(indexes: readonly number[]): void {
    const {ranks, codec, caller} = this.parts;
    const askedAtMs = performance.now();
    const asked = indexes.flatMap(index => ranks[index] ?? []);
    if (asked.length === 0) return;
    const call = codec.reportCall();
    void caller.callAll(asked, 'report', call, (rank, answer) =>
      this.takeReport(ranks.indexOf(rank), answer, askedAtMs)
    );
  }

  private takeReport(
    rank: number,
    answer: RankAnswer | undefined,
    askedAtMs: number
  ): void {
    const {codec} = this.parts;
    const report = isOk(answer) ? codec.readReport(answer.text) : undefined;
    if (report === undefined) return;
    const event = {kind: 'report', rank, report, askedAtMs} as const;
    this.send(this.machine?.step(event, performance.now()) ?? []);
  }

  private send(orders: readonly SentOrder[]): void {
    this.logPhase();
    this.sender.send(orders);
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
    if (state.kind === 'releasing' && state.then === 'switched')
      this.skewInForce = this.plannedSkew;
    const skew = this.skewInForce;
    logger.info(
      {event: 'map.phase', group: name, ...scope, phase: text, skew},
      state.kind
    );
  }
}
