/**
 * Manages the expert maps of one group during one epoch: samples the demand for
 * experts, plans maps, and carries out map switches. Only the leader runs one.
 */

import type {Logger} from '../core/logger';
import {rounded} from '../core/rounded';
import type {NodeMetrics} from '../core/nodeMetrics';
import type {OrderScope, RankCodec, RankMap} from '../ports/rankPort';
import type {EngineProfile} from '../site/site';
import type {MapOutlook} from '../policy/mapOutlook';
import type {ShiftHistory} from '../policy/shiftHistory';
import {fixedPassMs, passMsPerRequest} from '../policy/passDuration';
import {DemandSampler} from './demandSampler';
import {planMap} from './mapPlan';
import type {DueReading, PassDurations} from './shiftDetector';
import {ShiftDetector} from './shiftDetector';
import type {DemandChange, RankCounts} from './expertDemand';
import {ExpertDemand} from './expertDemand';
import {OrderSender} from './orderSender';
import type {RankAnswer} from './rankClient';
import {isOk} from './rankClient';
import type {RankTransport} from './rankTransport';
import type {OutgoingOrder} from './switchPhase';
import {GroupMapSwitch} from './groupMapSwitch';

/** Interval of reading reports during a switch. */
const SWITCH_REPORT_INTERVAL_MS = 100;
/**
 * Interval of reading reports without a switch, to find holds that came late.
 */
const IDLE_REPORT_INTERVAL_MS = 2_000;
/**
 * Least reduction of the skew (mean of the sets) that justifies a switch when
 * passes last as long as the pause that callers accept. Twice that is required
 * when passes last half as long.
 */
const MIN_SKEW_REDUCTION = 0.2;
/**
 * Time after a hold in which pauses of streams are attributed to the switch.
 */
const HOLD_VISIBLE_MS = 250;
/** Least interval between two attempts to read the map in use. */
const MAP_READ_INTERVAL_MS = 200;

/** One rank of the group. */
export interface GroupRank {
  readonly id: string;
  /** HOST:PORT */
  readonly address: string;
  readonly availabilityZone: string;
}

/** Dependencies of a group controller. */
export interface GroupParts {
  readonly name: string;
  readonly engine: EngineProfile;
  readonly scope: OrderScope;
  readonly ranks: readonly GroupRank[];
  readonly codec: RankCodec;
  readonly transport: RankTransport;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  /** Pass duration as observed in streams; 0 when no stream runs. */
  streamPassMs(): number;
  /** Requests of all nodes that are running in the group. */
  running(): number;
  /** Whether calls to the rank should be avoided, since it asked for less load. */
  isRestricted(rankId: string): boolean;
  /** Longest pause between events that callers accept; 0 when none is set. */
  readonly acceptedPauseMs: number;
  /** Demand that the group's previous controller knew. */
  readonly demand?: ExpertDemand;
  readonly shifts: ShiftHistory;
}

/**
 * Size of the range of map versions that belongs to each fencing token (the
 * leader's term), so that no two leaders use the same version.
 */
const VERSIONS_PER_TERM = 100_000;

/** Controls one group during one epoch, under one leader. */
export class GroupController {
  readonly demand: ExpertDemand;
  /** Absent until the map in use has been read from all ranks. */
  private mapSwitch: GroupMapSwitch | undefined;
  /**
   * Lowest version for new maps. Ranks refuse a version that they had before,
   * even if its switch was aborted.
   */
  private minVersion = 0;
  private isReadingMap = false;
  private mapReadAtMs = -Infinity;
  private readonly detector: ShiftDetector;
  private readonly sampler: DemandSampler;
  /** Whether the known demand has not been planned for yet. */
  private isPlanDue = false;
  private wasSwitching = false;
  private reportsReadAtMs = -Infinity;
  private loggedPhase = '';
  private isPlanning = false;
  /** Whether the next plan is due to a demand shift. */
  private isPlanForShift = false;
  private activeSkew = 1;
  /** Skew expected under the map that is being switched to. */
  private plannedSkew = 1;
  /** Whether a plan was computed from the demand in this epoch. */
  private hasPlanned = false;
  private heldAtMs = -Infinity;
  private readonly sender: OrderSender;

  constructor(private readonly parts: GroupParts) {
    const {engine} = parts;
    const {expertSets, experts} = engine;
    this.sampler = new DemandSampler(parts);
    this.sender = new OrderSender(parts, event =>
      this.send(this.mapSwitch?.step(event, performance.now()) ?? [])
    );
    this.detector = new ShiftDetector(this.sampler.holdMs);
    const known = parts.demand?.fits(expertSets, experts)
      ? parts.demand
      : undefined;
    this.demand = known ?? new ExpertDemand(expertSets, experts);
    this.isPlanDue = known !== undefined;
  }

  /** Whether a rank refused an order because it knows a newer leader. */
  get isFenced(): boolean {
    return this.mapSwitch?.isFenced === true;
  }

  /** Forecast of the load skew, which determines the duration of passes. */
  outlook(nowMs: number): MapOutlook {
    const {shifts} = this.parts;
    return {
      skew: this.activeSkew,
      shiftSkew: shifts.worstSkew(nowMs),
      dueSkew: this.hasPlanned
        ? shifts.dueSkew(nowMs)
        : shifts.worstSkew(nowMs),
      isHeld: nowMs - this.heldAtMs < HOLD_VISIBLE_MS,
    };
  }

  /** Periodic work, called every few tens of milliseconds. */
  tick(nowMs: number): void {
    const {mapSwitch} = this;
    if (mapSwitch === undefined) {
      void this.load(nowMs);
      return;
    }
    mapSwitch.noteStreamPassMs(this.parts.streamPassMs());
    this.send(mapSwitch.step({kind: 'tick'}, nowMs));
    const {kind} = mapSwitch.state;
    // A switch makes only a few copies; plan the remaining ones right after it.
    if (kind === 'idle' && this.wasSwitching) this.isPlanDue = true;
    this.wasSwitching = kind !== 'idle';
    if (kind !== 'idle' && kind !== 'preparing') this.heldAtMs = nowMs;
    if (mapSwitch.isReady(nowMs) && !mapSwitch.knowsLists) {
      this.minVersion = mapSwitch.unusedVersion;
      this.mapSwitch = undefined;
      return;
    }
    const isSwitching = kind !== 'idle' || !mapSwitch.isReady(nowMs);
    const periodMs = isSwitching
      ? SWITCH_REPORT_INTERVAL_MS
      : IDLE_REPORT_INTERVAL_MS;
    if (nowMs - this.reportsReadAtMs >= periodMs) {
      this.reportsReadAtMs = nowMs;
      this.readReports(mapSwitch.ranksToReport(nowMs));
    }
    const due = this.detector.nextReading(this.passDurations(), nowMs);
    if (due !== undefined) void this.sampleDemand(due);
    if (this.isPlanDue) void this.plan();
  }

  /**
   * Reads the map in use from all ranks; an earlier leader may have changed it.
   */
  private async load(nowMs: number): Promise<void> {
    if (this.isReadingMap || nowMs - this.mapReadAtMs < MAP_READ_INTERVAL_MS)
      return;
    this.isReadingMap = true;
    this.mapReadAtMs = nowMs;
    const {ranks, codec, scope, engine, transport} = this.parts;
    const maps: (RankMap | undefined)[] = ranks.map(() => undefined);
    const summary = await transport.callAll(
      ranks,
      'map',
      codec.mapCall(),
      (rank, answer) => {
        const map = isOk(answer) ? codec.readMap(answer.text) : undefined;
        maps[ranks.indexOf(rank)] = map;
      }
    );
    this.isReadingMap = false;
    this.sender.logFanOut('map', summary);
    const [first] = maps;
    const isOneMap = maps.every(
      map => map?.epoch === scope.epoch && map.version === first?.version
    );
    if (!isOneMap || first === undefined) return;
    const lists = Array.from({length: engine.expertSets}, (_, set) =>
      maps.map(map => map?.experts[set] ?? [])
    );
    this.mapSwitch = new GroupMapSwitch(
      ranks.length,
      lists,
      first.version,
      Math.max(
        scope.fence * VERSIONS_PER_TERM + 1,
        first.version + 1,
        this.minVersion
      ),
      performance.now()
    );
  }

  private async sampleDemand(due: DueReading): Promise<void> {
    const readings = await this.sampler.read();
    const change = this.applyReadings(due, readings);
    this.detector.noteReading(due, change, performance.now());
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
        ...rounded({...this.passDurations()}),
      },
      change
    );
    // Ranks in a zone that failed or is unreachable get no requests, so their
    // counts do not change.
    if (this.detector.isSampleEmpty) this.sampler.moveToNextRanks();
    if (change !== 'shifted' && change !== 'same') return;
    // The copies under way were planned for the demand before the shift.
    if (change === 'shifted') this.mapSwitch?.abortPreparing(performance.now());
    this.isPlanForShift ||= change === 'shifted';
    this.isPlanDue = true;
  }

  private applyReadings(
    due: DueReading,
    readings: readonly RankCounts[]
  ): DemandChange {
    if (!due.isBegin) return this.demand.addReadings(readings, due.isRecent);
    this.demand.beginWindows(readings);
    return 'nothing';
  }

  private passDurations(): PassDurations {
    const {engine, ranks, streamPassMs, running} = this.parts;
    const skew = this.activeSkew;
    const requestMs = passMsPerRequest({engine, ranks: ranks.length, skew});
    const forecastMs = fixedPassMs(engine) + running() * requestMs;
    return {passMs: streamPassMs(), forecastMs};
  }

  private async plan(): Promise<void> {
    const {mapSwitch} = this;
    if (mapSwitch?.isReady(performance.now()) !== true || this.isPlanning)
      return;
    this.isPlanning = true;
    this.isPlanDue = false;
    const {engine} = this.parts;
    const {lists: current, slowness} = mapSwitch;
    const plan = await planMap({
      current,
      demand: this.demand,
      engine,
      slowness,
    });
    this.isPlanning = false;
    const {before, after, copies, maxCopiesOnRank, lists} = plan;
    this.activeSkew = before;
    this.plannedSkew = after;
    this.hasPlanned = true;
    // The skew caused by a slow rank does not predict that of the next shift.
    if (this.isPlanForShift)
      this.parts.shifts.recordShift(plan.beforeIfInOrder, performance.now());
    this.isPlanForShift = false;
    if (!this.isSwitchWorthwhile(before - after)) return;
    this.parts.logger.info(
      {event: 'map.planned', group: this.parts.name, before, after, copies},
      'switching expert maps'
    );
    this.parts.metrics.switched(this.parts.name);
    const copyMs = maxCopiesOnRank * this.parts.engine.expertCopyMs;
    this.send(mapSwitch.begin(lists, copyMs, performance.now()));
  }

  /** Skew costs more the closer the pass duration is to the accepted pause. */
  private isSwitchWorthwhile(skewReduction: number): boolean {
    const {streamPassMs, acceptedPauseMs} = this.parts;
    const passLengthRatio =
      acceptedPauseMs === 0 ? 1 : streamPassMs() / acceptedPauseMs;
    return skewReduction * Math.min(1, passLengthRatio) >= MIN_SKEW_REDUCTION;
  }

  private readReports(indexes: readonly number[]): void {
    const {ranks, codec, transport} = this.parts;
    const requestedAtMs = performance.now();
    const queriedRanks = indexes.flatMap(index => ranks[index] ?? []);
    if (queriedRanks.length === 0) return;
    const call = codec.reportCall();
    void transport.callAll(queriedRanks, 'report', call, (rank, answer) =>
      this.noteReport(ranks.indexOf(rank), answer, requestedAtMs)
    );
  }

  private noteReport(
    rank: number,
    answer: RankAnswer | undefined,
    requestedAtMs: number
  ): void {
    const {codec} = this.parts;
    const report = isOk(answer) ? codec.readReport(answer.text) : undefined;
    if (report === undefined) return;
    const event = {kind: 'report', rank, report, requestedAtMs} as const;
    this.send(this.mapSwitch?.step(event, performance.now()) ?? []);
  }

  private send(orders: readonly OutgoingOrder[]): void {
    this.logPhase();
    this.sender.send(orders);
  }

  private logPhase(): void {
    const {mapSwitch} = this;
    if (mapSwitch === undefined) return;
    const {state} = mapSwitch;
    const pass = 'pass' in state ? state.pass : undefined;
    const version = 'version' in state ? state.version : undefined;
    const phaseText = `${state.kind} ${version} ${pass}`;
    if (phaseText === this.loggedPhase) return;
    this.loggedPhase = phaseText;
    const {name, scope, logger} = this.parts;
    if (state.kind === 'releasing' && state.map === 'new')
      this.activeSkew = this.plannedSkew;
    const skew = this.activeSkew;
    logger.info(
      {event: 'map.phase', group: name, ...scope, phase: phaseText, skew},
      state.kind
    );
  }
}
