/**
 * Takes a group of ranks from one expert map to the next, without a pass in
 * which two ranks have different maps.
 *
 * Orders may be lost, and carried out seconds later after newer ones. What
 * makes the switch safe whatever comes late:
 * - The map is copied to all ranks first, under a version never used before.
 * - One rank holds the group before pass S. No arm order is sent before that
 *   is confirmed, so pass S cannot begin while only some ranks are armed.
 * - `go` is given once every rank has confirmed that it is armed for S. An arm
 *   or hold that comes later finds pass S begun, and is refused.
 * - When an arm fails, every rank is disarmed, and a rank that may still get a
 *   late arm is given a newer copy, so that the old version is not there to be
 *   armed any more. Only then is the group let go, on the old map.
 */

import {unreachable} from '../core/errors';
import type {
  MapLists,
  OrderAnswer,
  RankOrder,
  RankReport,
} from '../ports/rankPort';
import {clearingOrders, isCleared, noteClearing} from './clearing';
import {LastSwitch} from './lastSwitch';
import {PassClock} from './passClock';
import {
  isArmedOtherwise,
  isMapOfAll,
  isNothingPending,
  pendingPass,
  preparedByAll,
} from './rankReports';
import type {
  PhaseOf,
  RankView,
  SentOrder,
  SwitchEvent,
  SwitchPhase,
} from './switchPhase';
import {CLOCK_RANK, RankViews, heldAfterAnswer} from './rankViews';

/** Copies of a few experts take about a second; late orders up to twelve. */
const PREPARE_LIMIT_MS = 6_000;
/** The group stands still from pass S on, so arming is given up early. */
const ARM_LIMIT_MS = 900;
/** The same for finishing an earlier leader's switch; it can still be taken back. */
const COMPLETE_LIMIT_MS = 300;
/** Holds that came after their pass, before the switch is given up. */
const HOLD_TRIES = 12;
/**
 * Copies may take a little longer than told. An arm that comes too early is
 * refused and sent again, while the group stands still.
 */
const COPY_MARGIN = 1.1;
const COPY_MARGIN_MS = 15;
/**
 * Passes left for arming where orders get lost: the group would else stand
 * still before pass S until the last rank has answered.
 */
const SPARE_PASSES = 3;
/** The switch of one epoch of one group. */
export class RankSwitch {
  private phase: SwitchPhase = {kind: 'inspecting'};
  private sinceMs: number;
  /** Fenced off by a newer leader: nothing more is ordered here. */
  isFenced = false;
  private readonly ranks: RankViews;
  private inForce: MapLists;
  private nextVersion: number;
  private clearVersion = 0;
  private listsKnown = true;
  private copyMs = 0;
  private readonly last = new LastSwitch();
  /** Whether an order of the present switch got no answer. */
  private isLossy = false;
  private readonly clock = new PassClock();

  constructor(
    ranks: number,
    /** Map in use, and its version. */
    lists: MapLists,
    private inForceVersion: number,
    /** Above every version used in earlier lives and by earlier leaders. */
    firstVersion: number,
    private nowMs: number
  ) {
    this.sinceMs = nowMs;
    this.inForce = lists;
    this.nextVersion = firstVersion;
    this.ranks = new RankViews(ranks);
  }

  get state(): SwitchPhase {
    return this.phase;
  }

  /** The map that all ranks use. */
  get lists(): MapLists {
    return this.inForce;
  }

  /** Whether `lists` is what the ranks use; they are to be read anew if not. */
  get knowsLists(): boolean {
    return this.listsKnown;
  }

  /**
   * Ranks whose reports matter now; each report is paid for. All ranks step
   * together, so that one tells for all how far the group is; the others'
   * answers to orders say the rest, sooner than reports.
   */
  ranksToReport(nowMs: number): readonly number[] {
    return this.ranks.toReport(this.phase, this.last.isDue(nowMs));
  }

  /**
   * Whether a switch may begin. A rank that is armed takes no copy orders, and
   * stays armed until the pass of the last switch begins.
   */
  isReady(nowMs: number): boolean {
    return this.phase.kind === 'idle' && this.last.isDue(nowMs);
  }

  /** Times that the work of each rank takes as long as usual. */
  get slowness(): readonly number[] {
    return this.ranks.views.map(({report}) => report?.slowness ?? 1);
  }

  /** Above every version used here; those that were given up count, too. */
  get unusedVersion(): number {
    return this.nextVersion;
  }

  /**
   * Gives up a switch that nobody holds or is armed for yet, because another
   * map is wanted by now; its version is never used.
   */
  drop(nowMs: number): void {
    if (this.phase.kind !== 'preparing') return;
    this.nowMs = nowMs;
    this.enter({kind: 'idle'});
  }

  /** Length of a pass as streams show it, sooner than reports; 0 unknown. */
  notePace(paceMs: number): void {
    this.clock.notePace(paceMs);
  }

  /** Begins a switch; only when ready. */
  begin(
    lists: MapLists,
    /** Time in which the slowest rank copies what is new to it. */
    copyMs: number,
    nowMs: number
  ): readonly SentOrder[] {
    if (!this.isReady(nowMs)) return [];
    this.nowMs = nowMs;
    this.isLossy = false;
    this.copyMs = copyMs * COPY_MARGIN + COPY_MARGIN_MS;
    this.enter({kind: 'preparing', version: this.nextVersion++, lists});
    return this.advance();
  }

  /** Takes in what happened; returns the orders that follow. */
  step(event: SwitchEvent, nowMs: number): readonly SentOrder[] {
    this.nowMs = nowMs;
    switch (event.kind) {
      case 'tick':
        break;
      case 'report':
        this.onReport(event.rank, event.report, event.askedAtMs);
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
    this.sinceMs = this.nowMs;
    this.ranks.beginPhase();
  }

  private onReport(rank: number, report: RankReport, askedAtMs: number): void {
    if (!this.ranks.noteReport(rank, report, askedAtMs)) return;
    this.clock.note(report.pass, askedAtMs);
    this.last.noteReport(report);
  }

  private onAnswer(rank: number, order: RankOrder, answer: OrderAnswer): void {
    const view = this.ranks.noteAnswer(rank, order, answer, this.nowMs);
    if (answer === 'fenced') this.isFenced = true;
    else if (view !== undefined) this.useAnswer(view, order, answer);
  }

  private useAnswer(
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
        // Refused: its copy is not complete yet, and the group waits for it.
        if (order.kind === 'arm' && order.version === phase.version)
          view.isDone ||= answer === 'done';
        return;
      case 'seizing':
        if (order.kind === 'hold' && order.pass === phase.pass)
          this.onSeizeAnswer(phase, answer);
        return;
      case 'clearing':
        noteClearing(view, order, answer);
        return;
      case 'releasing':
        if (order.kind === 'go' && answer !== 'unknown') view.isDone = true;
        return;
      case 'inspecting':
      case 'idle':
        return;
      default:
        return unreachable(phase);
    }
  }

  /**
   * A version is refused the second time. Once no rank is armed any more, that
   * says that an earlier order for it was taken, and its answer lost: the copy
   * has begun by then. A rank that takes a copy order is not armed, so that the
   * pass of the last switch has begun, for all ranks.
   */
  private onPrepareAnswer(view: RankView, answer: OrderAnswer): void {
    if (answer === 'unknown') {
      view.mayBePrepared = true;
      this.isLossy = true;
    }
    if (answer === 'done') {
      view.isDone = true;
      this.last.noteBegun();
    }
    if (answer !== 'refused' || view.isDone) return;
    // Still armed for the last switch, whose pass was expected to have begun.
    if (!this.last.hasBegun) this.last.noteStillArmed();
    else if (view.mayBePrepared) view.isDone = true;
    // Nothing is held or armed yet: the version is simply never used.
    else this.enter({kind: 'idle'});
  }

  private onHoldAnswer(phase: PhaseOf<'holding'>, answer: OrderAnswer): void {
    const {version, lists, pass, tries} = phase;
    if (answer === 'done') this.enter({kind: 'arming', version, lists, pass});
    if (answer !== 'refused') return;
    if (tries >= HOLD_TRIES) this.enter({kind: 'idle'});
    else this.enter(this.holdAhead(version, lists, tries + 1));
  }

  private giveUp(pass: number): void {
    this.clearVersion = this.nextVersion++;
    this.enter({kind: 'clearing', pass});
  }

  /** What the present phase calls for now. */
  private advance(): readonly SentOrder[] {
    const {phase} = this;
    switch (phase.kind) {
      case 'inspecting':
        return this.inspect();
      case 'idle':
        return this.handleStray();
      case 'preparing':
        return this.prepare(phase);
      case 'holding':
      case 'seizing':
        return this.toClockRank({kind: 'hold', pass: phase.pass});
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

  /** What an earlier leader left behind is finished or taken back first. */
  private inspect(): readonly SentOrder[] {
    if (!this.ranks.allReportedSince(this.sinceMs)) return [];
    const reports = this.ranks.reports();
    if (isNothingPending(reports, this.last.released)) {
      this.listsKnown = isMapOfAll(reports, this.inForceVersion);
      this.enter({kind: 'idle'});
      return [];
    }
    return this.takeBack(true);
  }

  /**
   * Takes back whatever an earlier leader began. Its orders may still arrive,
   * a go among them, and reports are old: a rank that is disarmed while the
   * others run into pass S would be alone with the old map. So the hold comes
   * first. Where the rank takes it, S has not begun, and only this leader can
   * let it begin; where it refuses, S has begun, and there is nothing to undo.
   */
  private takeBack(mayComplete: boolean): readonly SentOrder[] {
    const pass = pendingPass(this.ranks.reports(), this.last.released);
    if (pass === undefined) return [];
    // Its go may come late and must not fit a later hold of this leader.
    this.clock.exclude(pass);
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
      ? preparedByAll(this.ranks.reports(), pass)
      : undefined;
    if (version === undefined) this.giveUp(pass);
    else this.enter({kind: 'completing', version, pass});
  }

  /**
   * The group stands before the held pass, and every rank has the copies of one
   * version. Arming it takes one round trip; taking it back takes seconds. Late
   * arm orders of the earlier leader ask for the same.
   */
  private complete(phase: PhaseOf<'completing'>): readonly SentOrder[] {
    const {version, pass} = phase;
    if (this.ranks.areAllDone) {
      // What the version holds is read from the ranks.
      this.listsKnown = false;
      for (const view of this.ranks.views) view.mayBeArmedLate = false;
      const lists = this.inForce;
      this.enter({kind: 'releasing', pass, then: 'switched', version, lists});
      return this.advance();
    }
    return this.armWithin(COMPLETE_LIMIT_MS, version, pass);
  }

  /**
   * A hold that was carried out late, after its switch had ended, would stop
   * the group for good. It is let go only if no rank is armed, and none can be
   * by an earlier leader; else everything is taken back first.
   */
  private handleStray(): readonly SentOrder[] {
    const reports = this.ranks.reports();
    if (isArmedOtherwise(reports, this.last.released))
      return this.takeBack(false);
    const held = heldAfterAnswer(this.ranks.views);
    if (held === undefined) return [];
    if (!this.ranks.views.every(({isFenced}) => isFenced))
      return this.takeBack(false);
    const {rank, heldPass} = held;
    this.clock.exclude(heldPass);
    return this.ranks.order(this.nowMs, rank, {kind: 'go', pass: heldPass});
  }

  private prepare(phase: PhaseOf<'preparing'>): readonly SentOrder[] {
    const {version, lists} = phase;
    if (this.ranks.areCopied(version, this.nowMs - this.copyMs)) {
      this.enter(this.holdAhead(version, lists, 1));
      return this.advance();
    }
    if (this.ageMs > PREPARE_LIMIT_MS) {
      this.enter({kind: 'idle'});
      return [];
    }
    const stray = this.handleStray();
    if (this.phase !== phase || !this.last.isDue(this.nowMs)) return stray;
    const orders = this.ranks.toAll(
      this.nowMs,
      view => !view.isDone && view.report?.preparedVersion !== version,
      {kind: 'prepare', version, lists}
    );
    return [...stray, ...orders];
  }

  /**
   * The pass that begins next, as far as reports tell. A hold that comes too
   * late is refused within a round trip and tried for the pass after.
   */
  private holdAhead(
    version: number,
    lists: MapLists,
    tries: number
  ): SwitchPhase {
    const spare = this.isLossy ? SPARE_PASSES : 0;
    const pass = this.clock.takeNext(this.nowMs, spare);
    return {kind: 'holding', version, lists, pass, tries};
  }

  private arm(phase: PhaseOf<'arming'>): readonly SentOrder[] {
    const {version, lists, pass} = phase;
    if (this.ranks.areAllDone) {
      this.enter({kind: 'releasing', pass, then: 'switched', version, lists});
      return this.advance();
    }
    return this.armWithin(ARM_LIMIT_MS, version, pass);
  }

  private armWithin(
    limitMs: number,
    version: number,
    pass: number
  ): readonly SentOrder[] {
    if (this.ageMs <= limitMs)
      return this.ranks.armAll(this.nowMs, version, pass);
    this.giveUp(pass);
    return this.advance();
  }

  private clear(phase: PhaseOf<'clearing'>): readonly SentOrder[] {
    const isClear = this.ranks.views.every(view =>
      isCleared(view, this.clearVersion)
    );
    if (isClear) {
      for (const view of this.ranks.views) view.mayBeArmedLate = false;
      const {pass} = phase;
      const lists = this.inForce;
      this.enter({kind: 'releasing', pass, then: 'idle', version: 0, lists});
      return this.advance();
    }
    const {ranks, nowMs, clearVersion, inForce} = this;
    return clearingOrders(ranks, nowMs, clearVersion, inForce);
  }

  private release(phase: PhaseOf<'releasing'>): readonly SentOrder[] {
    if (this.ranks.views[CLOCK_RANK]?.isDone !== true)
      return this.toClockRank({kind: 'go', pass: phase.pass});
    if (phase.then === 'switched') this.noteSwitched(phase);
    this.enter({kind: 'idle'});
    return this.advance();
  }

  /**
   * Every rank has confirmed that it is armed, and pass S is let go: the map is
   * in force with S, whatever comes late. Reports would show it 200 ms later;
   * not waiting for them brings the second switch after a shift of demand
   * 0.4 s sooner.
   */
  private noteSwitched({version, lists, pass}: PhaseOf<'releasing'>): void {
    this.inForce = lists;
    this.inForceVersion = version;
    const expectedAtMs = this.clock.beginOf(pass, this.nowMs);
    this.last.noteReleased(version, pass, expectedAtMs);
  }

  private toClockRank(order: RankOrder): readonly SentOrder[] {
    return this.ranks.order(this.nowMs, CLOCK_RANK, order);
  }

  private get ageMs(): number {
    return this.nowMs - this.sinceMs;
  }
}
