/**
 * Switches a group of ranks from one expert map to the next, without a pass in
 * which two ranks use different maps.
 *
 * An order without a response may be lost, or be carried out seconds later,
 * after newer orders. The protocol is safe in both cases:
 * - The map is copied to all ranks first, under a version never used before.
 * - One rank then holds the group before pass S. No arm order is sent before
 *   the hold is confirmed, so pass S cannot begin while only some ranks are
 *   armed.
 * - `go` is sent once every rank has confirmed that it is armed for S. An arm
 *   or hold order that arrives later finds that pass S has begun, and is
 *   refused.
 * - When arming fails, every rank is disarmed. A rank that may still receive a
 *   late arm order also gets a newer copy, which replaces the version that the
 *   late order names. Only then does the group continue, with the old map.
 */

import {unreachable} from '../core/errors';
import type {
  GroupExpertMap,
  OrderAnswer,
  RankOrder,
  RankReport,
} from '../ports/rankPort';
import {clearingOrders, isCleared, noteClearingAnswer} from './clearingPhase';
import {paddedCopyMs} from './copyTime';
import {ReleasedSwitches} from './releasedSwitches';
import {PassClock} from './passClock';
import {
  commonPreparedVersion,
  hasNoPendingSwitch,
  isAnyArmedForUnreleased,
  isVersionUsedByAll,
  pendingPass,
} from './rankReports';
import type {
  OutgoingOrder,
  PhaseOf,
  RankView,
  SwitchEvent,
  SwitchPhase,
} from './switchPhase';
import {HOLD_RANK, RankViews, findCurrentHold} from './rankViews';

/** Timeout of copying; ranks may carry an order out later than that. */
const PREPARE_TIMEOUT_MS = 6_000;
/**
 * Timeout of arming. Short, because the group is held before pass S meanwhile.
 */
const ARM_TIMEOUT_MS = 900;
/**
 * Timeout of arming when completing an earlier leader's switch. The switch can
 * still be rolled back afterwards.
 */
const COMPLETE_TIMEOUT_MS = 300;
/**
 * Number of holds refused because their pass had already begun after which the
 * switch is aborted.
 */
const MAX_HOLD_ATTEMPTS = 12;
/**
 * Passes that begin between the hold order and pass S, as time for arming.
 * Without any, the group stands before pass S until the last rank has responded,
 * and all streams pause for the pass and that time together. More are needed
 * when orders get lost.
 */
const LEAD_PASSES = 1;
const LOSSY_LEAD_PASSES = 3;

/** State machine for the map switches of one group during one epoch. */
export class GroupMapSwitch {
  private phase: SwitchPhase = {kind: 'inspecting'};
  private phaseBeganMs: number;
  /** Whether a rank knows a newer leader; no more orders are sent then. */
  isFenced = false;
  private readonly ranks: RankViews;
  private activeLists: GroupExpertMap;
  private nextVersion: number;
  private replacementVersion = 0;
  private areListsKnown = true;
  private copyMs = 0;
  private readonly released = new ReleasedSwitches();
  /** Whether a copy order of the current switch got no response. */
  private hasUnknownOutcome = false;
  private readonly passClock = new PassClock();

  constructor(
    ranks: number,
    /** Map in use; `activeVersion` is its version. */
    lists: GroupExpertMap,
    private activeVersion: number,
    /**
     * Higher than every version used in earlier epochs and by earlier leaders.
     */
    firstVersion: number,
    private nowMs: number
  ) {
    this.phaseBeganMs = nowMs;
    this.activeLists = lists;
    this.nextVersion = firstVersion;
    this.ranks = new RankViews(ranks);
  }

  get state(): SwitchPhase {
    return this.phase;
  }

  /** Map that all ranks use. */
  get lists(): GroupExpertMap {
    return this.activeLists;
  }

  /**
   * Whether the ranks use `lists`. If not, the map has to be read from them
   * again.
   */
  get knowsLists(): boolean {
    return this.areListsKnown;
  }

  /**
   * Ranks whose reports are needed now; each report costs a call. All ranks run
   * in lock-step, so one of them shows the current pass of the group. For the
   * others, responses to orders show the state sooner than reports.
   */
  ranksToReport(nowMs: number): readonly number[] {
    return this.ranks.ranksToReport(this.phase, this.released.isDue(nowMs));
  }

  /**
   * Whether a switch may begin. A rank that is armed refuses copy orders, and
   * stays armed until the pass of the last switch begins.
   */
  isReady(nowMs: number): boolean {
    return this.phase.kind === 'idle' && this.released.isDue(nowMs);
  }

  /** Slowdown factor of each rank; 1 for normal speed or without a report. */
  get slowness(): readonly number[] {
    return this.ranks.views.map(({report}) => report?.slowness ?? 1);
  }

  /**
   * Higher than every version used here, including those of aborted switches.
   */
  get unusedVersion(): number {
    return this.nextVersion;
  }

  /**
   * Aborts a switch that is still copying, because another map is needed by
   * now. No rank is held or armed for its version, which is never used again.
   */
  abortPreparing(nowMs: number): void {
    if (this.phase.kind !== 'preparing') return;
    this.nowMs = nowMs;
    this.enter({kind: 'idle'});
  }

  /**
   * Notes the pass duration observed in streams, which is known sooner than
   * from reports; 0 when unknown.
   */
  noteStreamPassMs(passMs: number): void {
    this.passClock.noteStreamPassMs(passMs);
  }

  /** Begins a switch; does nothing unless `isReady`. */
  begin(
    lists: GroupExpertMap,
    /** Time that the rank with the most new experts needs to copy them. */
    copyMs: number,
    nowMs: number
  ): readonly OutgoingOrder[] {
    if (!this.isReady(nowMs)) return [];
    this.nowMs = nowMs;
    this.hasUnknownOutcome = false;
    this.copyMs = paddedCopyMs(copyMs);
    this.enter({kind: 'preparing', version: this.nextVersion++, lists});
    return this.advance();
  }

  /** Handles an event; returns the orders to send. */
  step(event: SwitchEvent, nowMs: number): readonly OutgoingOrder[] {
    this.nowMs = nowMs;
    switch (event.kind) {
      case 'tick':
        break;
      case 'report':
        this.onReport(event.rank, event.report, event.requestedAtMs);
        break;
      case 'answer':
        this.onAnswer(event.rank, event.order, event.answer);
        break;
      default:
        return unreachable(event);
    }
    return this.isFenced ? [] : this.advance();
  }

  private enter(phase: SwitchPhase): void {
    this.phase = phase;
    this.phaseBeganMs = this.nowMs;
    this.ranks.resetForPhase();
  }

  private onReport(rank: number, report: RankReport, queryAtMs: number): void {
    if (!this.ranks.noteReport(rank, report, queryAtMs)) return;
    this.passClock.noteReport(report.pass, queryAtMs);
    this.released.noteReport(report);
  }

  private onAnswer(rank: number, order: RankOrder, answer: OrderAnswer): void {
    const view = this.ranks.noteAnswer(rank, order, answer, this.nowMs);
    if (answer === 'fenced') this.isFenced = true;
    else if (view !== undefined) this.applyAnswer(view, order, answer);
  }

  private applyAnswer(
    view: RankView,
    order: RankOrder,
    answer: OrderAnswer
  ): void {
    const {phase} = this;
    switch (phase.kind) {
      case 'preparing':
        if (order.kind === 'prepare' && order.version === phase.version)
          this.onPrepareAnswer(view, answer);
        return;
      case 'holding':
        if (order.kind === 'hold' && order.pass === phase.pass)
          this.onHoldAnswer(phase, answer);
        return;
      case 'arming':
      case 'completing':
        // A refusal means that the copy is not complete yet; the arm is sent
        // again.
        if (order.kind === 'arm' && order.version === phase.version)
          view.isConfirmed ||= answer === 'done';
        return;
      case 'seizing':
        if (order.kind === 'hold' && order.pass === phase.pass)
          this.onSeizeAnswer(phase, answer);
        return;
      case 'clearing':
        noteClearingAnswer(view, order, answer);
        return;
      case 'releasing':
        if (order.kind === 'go' && answer !== 'unknown')
          view.isConfirmed = true;
        return;
      case 'inspecting':
      case 'idle':
        return;
      default:
        return unreachable(phase);
    }
  }

  /**
   * A rank refuses a copy order while it is armed, and for a version that it
   * already has. Once no rank is armed, a refusal after a lost response
   * therefore proves that the earlier order was carried out and the copy has
   * begun. A rank that accepts a copy order is not armed, so the pass of the
   * last switch has begun on all ranks.
   */
  private onPrepareAnswer(view: RankView, answer: OrderAnswer): void {
    if (answer === 'unknown') {
      view.mayBePrepared = true;
      this.hasUnknownOutcome = true;
    }
    if (answer === 'done') {
      view.isConfirmed = true;
      this.released.noteBegun();
    }
    if (answer !== 'refused' || view.isConfirmed) return;
    // The rank is still armed: the last switch's pass is later than expected.
    if (!this.released.hasBegun) this.released.noteStillArmed();
    else if (view.mayBePrepared) view.isConfirmed = true;
    // No rank is held or armed yet, so the version is just never used.
    else this.enter({kind: 'idle'});
  }

  private onHoldAnswer(phase: PhaseOf<'holding'>, answer: OrderAnswer): void {
    const {version, lists, pass, attempts} = phase;
    if (answer === 'done') this.enter({kind: 'arming', version, lists, pass});
    if (answer !== 'refused') return;
    if (attempts >= MAX_HOLD_ATTEMPTS) this.enter({kind: 'idle'});
    else this.enter(this.nextHold(version, lists, attempts + 1));
  }

  private rollBack(pass: number): void {
    this.replacementVersion = this.nextVersion++;
    this.enter({kind: 'clearing', pass});
  }

  /** Moves on to the next phase when possible; returns the orders to send. */
  private advance(): readonly OutgoingOrder[] {
    const {phase} = this;
    switch (phase.kind) {
      case 'inspecting':
        return this.inspect();
      case 'idle':
        return this.handleLateOrders();
      case 'preparing':
        return this.prepare(phase);
      case 'holding':
      case 'seizing':
        return this.orderHoldRank({kind: 'hold', pass: phase.pass});
      case 'arming':
        return this.arm(phase);
      case 'completing':
        return this.complete(phase);
      case 'clearing':
        return this.clear(phase);
      case 'releasing':
        return this.release(phase);
      default:
        return unreachable(phase);
    }
  }

  /**
   * Detects a switch of an earlier leader, to complete it or roll it back
   * first.
   */
  private inspect(): readonly OutgoingOrder[] {
    if (!this.ranks.areAllReportedSince(this.phaseBeganMs)) return [];
    const reports = this.ranks.reports();
    if (hasNoPendingSwitch(reports, this.released.versions)) {
      this.areListsKnown = isVersionUsedByAll(reports, this.activeVersion);
      this.enter({kind: 'idle'});
      return [];
    }
    return this.seize(true);
  }

  /**
   * Takes over the pending switch of an earlier leader. Its orders may still
   * arrive, including a `go`, and reports are delayed: if one rank were
   * disarmed while the others begin pass S, it alone would use the old map.
   * Therefore the hold is repeated first. If the rank accepts it, S has not
   * begun, and only this leader can let it begin. If the rank refuses it, S has
   * begun, and there is nothing to roll back.
   */
  private seize(mayComplete: boolean): readonly OutgoingOrder[] {
    const pass = pendingPass(this.ranks.reports(), this.released.versions);
    if (pass === undefined) return [];
    // A late `go` of the earlier leader must not match a later hold of this
    // one.
    this.passClock.excludeUpTo(pass);
    this.enter({kind: 'seizing', pass, mayComplete});
    return this.advance();
  }

  private onSeizeAnswer(
    {pass, mayComplete}: PhaseOf<'seizing'>,
    answer: OrderAnswer
  ): void {
    if (answer === 'refused') this.enter({kind: 'inspecting'});
    if (answer !== 'done') return;
    for (const view of this.ranks.views) view.mayBeArmedLate = true;
    const version = mayComplete
      ? commonPreparedVersion(this.ranks.reports(), pass)
      : undefined;
    if (version === undefined) this.rollBack(pass);
    else this.enter({kind: 'completing', version, pass});
  }

  /**
   * Completes an earlier leader's switch. The group is held, and every rank has
   * the copies of the same version. Arming takes one round trip, while a
   * rollback takes seconds. Late arm orders of the earlier leader are for the
   * same version and pass, and do no harm.
   */
  private complete(phase: PhaseOf<'completing'>): readonly OutgoingOrder[] {
    const {version, pass} = phase;
    if (this.ranks.areAllConfirmed) {
      // Only the version is known; its lists are then read from the ranks.
      this.areListsKnown = false;
      for (const view of this.ranks.views) view.mayBeArmedLate = false;
      const lists = this.activeLists;
      this.enter({kind: 'releasing', pass, map: 'new', version, lists});
      return this.advance();
    }
    return this.armOrRollBack(COMPLETE_TIMEOUT_MS, version, pass);
  }

  /**
   * Releases a hold that was carried out late, after the end of its switch; it
   * would stop the group forever. The hold is released at once only if no rank
   * is armed and every rank rejects orders of earlier leaders. Otherwise the
   * pending switch is taken over first.
   */
  private handleLateOrders(): readonly OutgoingOrder[] {
    const reports = this.ranks.reports();
    if (isAnyArmedForUnreleased(reports, this.released.versions))
      return this.seize(false);
    const held = findCurrentHold(this.ranks.views);
    if (held === undefined) return [];
    if (!this.ranks.views.every(({rejectsOlderLeaders}) => rejectsOlderLeaders))
      return this.seize(false);
    const {rank, heldPass} = held;
    this.passClock.excludeUpTo(heldPass);
    return this.ranks.order(this.nowMs, rank, {kind: 'go', pass: heldPass});
  }

  private prepare(phase: PhaseOf<'preparing'>): readonly OutgoingOrder[] {
    const {version, lists} = phase;
    if (this.ranks.areCopiesComplete(version, this.nowMs - this.copyMs)) {
      this.enter(this.nextHold(version, lists, 1));
      return this.advance();
    }
    if (this.ageMs > PREPARE_TIMEOUT_MS) {
      this.enter({kind: 'idle'});
      return [];
    }
    const releaseOrders = this.handleLateOrders();
    if (this.phase !== phase || !this.released.isDue(this.nowMs))
      return releaseOrders;
    const orders = this.ranks.orderWhere(
      this.nowMs,
      view => !view.isConfirmed && view.report?.preparedVersion !== version,
      {kind: 'prepare', version, lists}
    );
    return [...releaseOrders, ...orders];
  }

  /**
   * Plans a hold before the pass that is estimated to begin next. A hold that
   * arrives too late is refused within one round trip, and repeated for a later
   * pass.
   */
  private nextHold(
    version: number,
    lists: GroupExpertMap,
    attempts: number
  ): SwitchPhase {
    const leadPasses = this.hasUnknownOutcome ? LOSSY_LEAD_PASSES : LEAD_PASSES;
    const pass = this.passClock.reservePass(this.nowMs, leadPasses);
    return {kind: 'holding', version, lists, pass, attempts};
  }

  private arm(phase: PhaseOf<'arming'>): readonly OutgoingOrder[] {
    const {version, lists, pass} = phase;
    if (this.ranks.areAllConfirmed) {
      this.enter({kind: 'releasing', pass, map: 'new', version, lists});
      return this.advance();
    }
    return this.armOrRollBack(ARM_TIMEOUT_MS, version, pass);
  }

  private armOrRollBack(
    timeoutMs: number,
    version: number,
    pass: number
  ): readonly OutgoingOrder[] {
    if (this.ageMs <= timeoutMs)
      return this.ranks.armAll(this.nowMs, version, pass);
    this.rollBack(pass);
    return this.advance();
  }

  private clear(phase: PhaseOf<'clearing'>): readonly OutgoingOrder[] {
    const areAllCleared = this.ranks.views.every(view =>
      isCleared(view, this.replacementVersion)
    );
    if (areAllCleared) {
      for (const view of this.ranks.views) view.mayBeArmedLate = false;
      const {pass} = phase;
      const lists = this.activeLists;
      this.enter({kind: 'releasing', pass, map: 'old', version: 0, lists});
      return this.advance();
    }
    const {ranks, nowMs, replacementVersion, activeLists} = this;
    return clearingOrders(ranks, nowMs, replacementVersion, activeLists);
  }

  private release(phase: PhaseOf<'releasing'>): readonly OutgoingOrder[] {
    if (this.ranks.views[HOLD_RANK]?.isConfirmed !== true)
      return this.orderHoldRank({kind: 'go', pass: phase.pass});
    if (phase.map === 'new') this.noteSwitched(phase);
    this.enter({kind: 'idle'});
    return this.advance();
  }

  /**
   * Notes that the new map is active from pass S on: every rank has confirmed
   * that it is armed, and the hold is released, so no late order matters.
   * Reports would show it 200 ms later; without waiting for them, the second
   * switch after a demand shift comes 0.4 s sooner.
   */
  private noteSwitched({version, lists, pass}: PhaseOf<'releasing'>): void {
    this.activeLists = lists;
    this.activeVersion = version;
    const expectedAtMs = this.passClock.expectedBeginMs(pass, this.nowMs);
    this.released.noteReleased(version, pass, expectedAtMs);
  }

  private orderHoldRank(order: RankOrder): readonly OutgoingOrder[] {
    return this.ranks.order(this.nowMs, HOLD_RANK, order);
  }

  private get ageMs(): number {
    return this.nowMs - this.phaseBeganMs;
  }
}
