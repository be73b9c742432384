/**
 * The control loop of the leader for the expert map of one group: it plans maps
 * from the reported popularity of experts and carries out map switches.
 */

import type {Observable, Subscription} from 'rxjs';
import {distinctUntilChanged, map, merge, timer} from 'rxjs';
import {unreachable} from '../../core/errors';
import type {Logger} from '../../core/logger';
import type {
  ExpertCountsReport,
  ExpertMap,
  FromRankMessage,
  StagedMessage,
  SwitchId,
  ToRankMessage,
} from '../../core/mapMessages';
import type {Metrics} from '../../core/metrics';
import type {SlotChange} from '../../policy/placement';
import type {RebalanceConfig} from '../../policy/rebalanceDecision';
import {RebalancePlanner} from '../../policy/rebalancePlanner';
import type {ReplicatedLog} from '../log/replicatedLog';
import type {FenceCommand, MapDecisionCommand} from '../state/command';
import type {MapState} from './mapState';
import {MapSwitch} from './mapSwitch';
import {PassEstimate} from './passEstimate';
import type {
  MapSwitchConfig,
  SwitchAction,
  SwitchEvent,
  SwitchResult,
} from './mapSwitchEvents';

/** Sends messages to the agents of a group. */
export interface RankLink {
  /** Messages may be lost; those that must arrive are sent again. */
  send(rank: number, message: ToRankMessage): void;
}

/** Settings of one group. */
export interface MapControllerConfig extends MapSwitchConfig {
  readonly experts: number;
  readonly rebalance: RebalanceConfig;
  /** Time between two decisions, milliseconds. */
  readonly tickMs: number;
}

/** Whether rules let the group rebalance and the gain that they require. */
export interface RebalancePolicy {
  readonly on: boolean;
  /** Minimum reduction of the load skew that starts a load, 0 to 1. */
  readonly minGain: number;
}

/** The loop for one group on a control instance; idle on a follower. */
export class MapController {
  private readonly machine: MapSwitch;
  private readonly planner: RebalancePlanner;
  /** Latest report of each rank. */
  private readonly latestReports = new Map<number, ExpertCountsReport>();
  private readonly passEstimate = new PassEstimate();
  private pending?: ExpertMap;

  constructor(
    private readonly cfg: MapControllerConfig,
    private readonly log: Pick<
      ReplicatedLog,
      'propose' | 'readBarrier' | 'status$'
    >,
    private readonly state: MapState,
    private readonly link: RankLink,
    private readonly rebalancePolicy: () => RebalancePolicy,
    private readonly metrics: Metrics,
    private readonly logger: Logger
  ) {
    this.machine = new MapSwitch(cfg);
    this.planner = new RebalancePlanner(cfg.rebalance, cfg.experts);
  }

  start(): Subscription {
    const leads: Observable<SwitchEvent> = this.log.status$.pipe(
      map(status => status.role === 'leader'),
      distinctUntilChanged(),
      map(leader => ({kind: leader ? 'lead' : 'resign'}))
    );
    const ticks: Observable<SwitchEvent> = timer(
      this.cfg.tickMs,
      this.cfg.tickMs
    ).pipe(map(() => ({kind: 'tick'})));
    return merge(leads, ticks).subscribe(event => {
      if (event.kind === 'resign') this.reset();
      this.handle(event);
      if (event.kind === 'tick') this.plan();
    });
  }

  /** Handles a message from a rank; it has been validated on arrival. */
  receive(message: FromRankMessage): void {
    switch (message.kind) {
      case 'expertCounts':
        return this.onCounts(message);
      case 'staged':
        return this.onStaged(message);
      case 'refusal':
        this.passEstimate.record(message.step, performance.now());
        return this.handle({kind: 'message', message});
      case 'join':
        // A restarted agent has lost its load orders. If the planner waited for
        // them, all further loads of the group would be blocked.
        this.planner.restarted(message.rank);
        return this.handle({kind: 'message', message});
      case 'promise':
      case 'decisionQuery':
        return this.handle({kind: 'message', message});
      default:
        return unreachable(message);
    }
  }

  private reset(): void {
    this.planner.reset();
    this.pending = undefined;
  }

  private onCounts(report: ExpertCountsReport): void {
    const last = this.latestReports.get(report.rank);
    // A restarted agent numbers its reports from 1 again. Compared by number
    // alone, they would be dropped for as long as the previous boot had run.
    const isLate =
      last?.agentBootId === report.agentBootId && report.seq <= last.seq;
    if (report.group !== this.cfg.group || isLate) return;
    this.latestReports.set(report.rank, report);
    const nowMs = performance.now();
    this.passEstimate.record(report.step, nowMs);
    const atMs = nowMs - report.ageMs;
    this.planner.observe({atMs, counts: report.counts});
  }

  private onStaged(message: StagedMessage): void {
    const {rank, slot, expert, ok} = message;
    const change = {rank, slot, expert};
    if (ok) this.planner.loaded(change);
    else this.planner.failed(change);
  }

  private plan(): void {
    const {current} = this.state.group(this.cfg.group);
    const {fence} = this.machine;
    const busy = this.pending === undefined && !this.machine.idle;
    const {on, minGain} = this.rebalancePolicy();
    if (!on || busy || !current || !fence) return;
    const nowMs = performance.now();
    const next = this.planner.next(current.map, this.pending, nowMs, minGain);
    next.stage?.forEach(change => this.stage(change, fence));
    if (next.switchTo === undefined) return;
    this.pending = next.switchTo;
    this.handle({
      kind: 'start',
      map: next.switchTo,
      step: this.passEstimate.estimateAt(nowMs),
    });
  }

  private stage({rank, slot, expert}: SlotChange, fence: number): void {
    const {group} = this.cfg;
    this.link.send(rank, {kind: 'stage', group, fence, slot, expert});
  }

  private handle(event: SwitchEvent): void {
    const actions = this.machine.handle(event, performance.now());
    actions.forEach(action => this.perform(action));
  }

  private perform(action: SwitchAction): void {
    switch (action.kind) {
      case 'send':
        return this.link.send(action.rank, action.message);
      case 'propose':
        return this.propose(action.command);
      case 'read':
        return this.read(action.seq);
      case 'answerQuery':
        return this.answerQuery(action.id, action.rank);
      case 'ended':
        return this.onEnded(action.result);
      default:
        return unreachable(action);
    }
  }

  private onEnded(result: SwitchResult): void {
    this.pending = undefined;
    if (result.kind === 'switched') return this.metrics.count('map.switched');
    const {reason} = result;
    this.metrics.count('map.aborted', {side: 'control', reason});
  }

  /** After a failure the state machine proposes the same command again. */
  private propose(command: FenceCommand | MapDecisionCommand): void {
    this.log.propose(command).then(
      applied => {
        if (applied.command === 'fence')
          this.handle({kind: 'fence', fence: applied.result.fence});
        if (applied.command !== 'mapDecision' || command.kind === 'fence')
          return;
        const {version} = command;
        this.handle({
          kind: 'decided',
          version,
          result: applied.result.kind,
        });
      },
      err =>
        this.logger.info(
          {err, kind: command.kind},
          'proposal failed; it is repeated while this instance leads'
        )
    );
  }

  private read(seq: number): void {
    this.log.readBarrier().then(
      () => {
        const maps = this.state.group(this.cfg.group);
        this.handle({kind: 'read', seq, maps});
      },
      err => this.logger.info({err}, 'read barrier failed; maps not read')
    );
  }

  private answerQuery(id: SwitchId, rank: number): void {
    this.log.readBarrier().then(
      () => {
        const decision = this.state.outcome(id);
        if (decision === 'undecided') return;
        this.link.send(rank, {kind: 'decision', ...id, decision});
      },
      err =>
        this.logger.info(
          {err},
          `read barrier failed; query of rank ${rank} not answered`
        )
    );
  }
}
