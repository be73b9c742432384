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

/** Copies of a few experts take about a second; late orders up to twelve. */
const PREPARE_LIMIT_MS = 6_000;
/** The group stands still from pass S on, so arming is given up early. */
const ARM_LIMIT_MS = 900;
/** Answers come within 5 ms; a reading of 250 ms' age still shows old state. */
const SETTLE_MS = 450;
/** Holds that came after their pass, before the switch is given up. */
const HOLD_TRIES = 12;
/** Age of what a report shows. The holds that follow find the exact pass. */
const REPORT_AGE_MS = 200;
/**
 * Copies may take a little longer than told. An arm that comes too early is
 * refused and sent again, while the group stands still.
 */
const COPY_MARGIN = 1.1;
const COPY_MARGIN_MS = 15;
/** Before any pass was measured: a group under load. */
const FIRST_PASS_MS = 50;
/** Passes of an idle group tell nothing of their length. */
const LONGEST_PASS_MS = 400;
const PASS_SMOOTHING = 0.3;
/**
 * Rest of a rank after an order that it did not take. Most of the time its
 * state has to change first, and each order is paid for.
 */
const REST_MS = 60;

/** Where a switch stands. */
export type SwitchPhase =
  | {readonly kind: 'inspecting'}
  | {readonly kind: 'idle'}
  | {
      readonly kind: 'preparing';
      readonly version: number;
      readonly lists: MapLists;
    }
  | {
      readonly kind: 'holding';
      readonly version: number;
      readonly lists: MapLists;
      readonly pass: number;
      readonly tries: number;
    }
  | {
      readonly kind: 'arming';
      readonly version: number;
      readonly lists: MapLists;
      readonly pass: number;
    }
  /** Disarms after an arm that failed. */
  | {readonly kind: 'clearing'; readonly pass: number | undefined}
  /** Lets the group go, on the new map or on the old one. */
  | {
      readonly kind: 'releasing';
      readonly pass: number;
      readonly then: 'confirming' | 'idle';
      readonly version: number;
      readonly lists: MapLists;
    }
  | {
      readonly kind: 'confirming';
      readonly version: number;
      readonly lists: MapLists;
    };

/** Something that happened. */
export type SwitchEvent =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'report';
      readonly rank: number;
      readonly report: RankReport;
      /** When it was asked for. */
      readonly askedAtMs: number;
    }
  | {
      readonly kind: 'answer';
      readonly rank: number;
      readonly order: RankOrder;
      readonly answer: OrderAnswer;
    };

/** An order to be sent now. */
export interface SentOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

interface RankView {
  report?: RankReport;
  reportAtMs: number;
  /** Whether an order to it is on its way. */
  isBusy: boolean;
  /** Whether the present phase's order was confirmed. */
  isDone: boolean;
  /** Whether an arm order got no answer and may still come. */
  mayBeArmedLate: boolean;
  /** Whether a copy order got no answer, so that a refusal may mean it is there. */
  mayBePrepared: boolean;
  /** Whether it took an order of ours: older orderers are refused since. */
  isFenced: boolean;
  /** While clearing. */
  isDisarmed: boolean;
  /** When the last order was answered. */
  answeredAtMs: number;
  /** Before this nothing is ordered again. */
  restUntilMs: number;
}

/** The switch of one life of one group; a new epoch gets a new one. */
export class RankSwitch {
  private phase: SwitchPhase = {kind: 'inspecting'};
  private sinceMs: number;
  private readonly views: RankView[];
  private inForce: MapLists;
  private nextVersion: number;
  private lastPass = 0;
  private clearVersion = 0;
  private fenced = false;
  private listsKnown = true;
  private copyMs = 0;
  /** Length of a pass, measured from reports. */
  private passMs = FIRST_PASS_MS;

  constructor(
    ranks: number,
    /** Map in use, and its version. */
    lists: MapLists,
    private readonly listsVersion: number,
    /** Above every version used in earlier lives and by earlier orderers. */
    firstVersion: number,
    private nowMs: number
  ) {
    this.sinceMs = nowMs;
    this.inForce = lists;
    this.nextVersion = firstVersion;
    this.views = Array.from({length: ranks}, () => ({
      reportAtMs: -Infinity,
      isBusy: false,
      isDone: false,
      mayBeArmedLate: false,
      mayBePrepared: false,
      isFenced: false,
      isDisarmed: false,
      answeredAtMs: -Infinity,
      restUntilMs: -Infinity,
    }));
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

  /** Another orderer took over: nothing more is ordered here. */
  get isFenced(): boolean {
    return this.fenced;
  }

  /** Whether what a rank reports matters now; each report is paid for. */
  needsReport(rank: number): boolean {
    const {phase} = this;
    const report = this.views[rank]?.report;
    switch (phase.kind) {
      case 'preparing':
        return report?.preparedVersion !== phase.version;
      case 'confirming':
        return report?.mapVersion !== phase.version;
      case 'inspecting':
      case 'idle':
      case 'holding':
      case 'arming':
      case 'clearing':
      case 'releasing':
        return true;
      default:
        return unreachable(phase);
    }
  }

  /** Begins a switch; only when idle. */
  begin(
    lists: MapLists,
    /** Time in which the slowest rank copies what is new to it. */
    copyMs: number,
    nowMs: number
  ): readonly SentOrder[] {
    if (this.phase.kind !== 'idle') return [];
    this.nowMs = nowMs;
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
    return this.fenced ? [] : this.advance();
  }

  private enter(phase: SwitchPhase): void {
    this.phase = phase;
    this.sinceMs = this.nowMs;
    for (const view of this.views) {
      view.isDone = false;
      view.isDisarmed = false;
      view.mayBePrepared = false;
    }
  }

  private onReport(rank: number, report: RankReport, askedAtMs: number): void {
    const view = this.views[rank];
    if (view === undefined || askedAtMs < view.reportAtMs) return;
    this.measurePass(view, report, askedAtMs);
    view.report = report;
    view.reportAtMs = askedAtMs;
  }

  private measurePass(
    view: RankView,
    {pass}: RankReport,
    askedAtMs: number
  ): void {
    const passes = pass - (view.report?.pass ?? pass);
    if (passes <= 0) return;
    const ms = (askedAtMs - view.reportAtMs) / passes;
    if (ms <= LONGEST_PASS_MS)
      this.passMs += (ms - this.passMs) * PASS_SMOOTHING;
  }

  private onAnswer(rank: number, order: RankOrder, answer: OrderAnswer): void {
    const view = this.views[rank];
    if (view === undefined) return;
    view.isBusy = false;
    view.answeredAtMs = this.nowMs;
    if (answer === 'fenced') {
      this.fenced = true;
      return;
    }
    if (answer === 'done') view.isFenced = true;
    // A hold that came too late is tried at once, for a later pass.
    else if (order.kind !== 'hold') view.restUntilMs = this.nowMs + REST_MS;
    if (order.kind === 'arm' && answer === 'unknown')
      view.mayBeArmedLate = true;
    this.useAnswer(view, order, answer);
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
        if (order.kind !== 'arm' || order.version !== phase.version) return;
        // Refused: its copy is not complete yet, and the group waits for it.
        if (answer === 'done') view.isDone = true;
        return;
      case 'clearing':
        this.onClearAnswer(view, order, answer);
        return;
      case 'releasing':
        if (order.kind === 'go' && answer !== 'unknown') view.isDone = true;
        return;
      case 'inspecting':
      case 'idle':
      case 'confirming':
        return;
      default:
        return unreachable(phase);
    }
  }

  private onPrepareAnswer(view: RankView, answer: OrderAnswer): void {
    if (answer === 'unknown') view.mayBePrepared = true;
    if (answer === 'done') view.isDone = true;
    if (answer !== 'refused' || view.isDone) return;
    // The same version twice is refused: reports tell whether it is there.
    if (view.mayBePrepared) view.isDone = true;
    // Nothing is held or armed yet: the version is simply never used.
    else this.enter({kind: 'idle'});
  }

  private onHoldAnswer(
    phase: Extract<SwitchPhase, {kind: 'holding'}>,
    answer: OrderAnswer
  ): void {
    const {version, lists, pass, tries} = phase;
    if (answer === 'done') this.enter({kind: 'arming', version, lists, pass});
    if (answer !== 'refused') return;
    if (tries >= HOLD_TRIES) this.enter({kind: 'idle'});
    else this.enter(this.holdAhead(version, lists, tries + 1));
  }

  private onClearAnswer(
    view: RankView,
    order: RankOrder,
    answer: OrderAnswer
  ): void {
    if (order.kind === 'disarm' && answer !== 'unknown') view.isDisarmed = true;
    if (order.kind !== 'prepare') return;
    if (answer === 'unknown') view.mayBePrepared = true;
    if (answer === 'done') view.isDone = true;
    if (answer !== 'refused') return;
    if (view.mayBePrepared) view.isDone = true;
    // A late arm came in between.
    else view.isDisarmed = false;
  }

  private giveUp(pass: number | undefined): void {
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
        return this.handleStray(undefined);
      case 'preparing':
        return this.prepare(phase);
      case 'holding':
        return this.order(0, {kind: 'hold', pass: phase.pass});
      case 'arming':
        return this.arm(phase);
      case 'clearing':
        return this.clear(phase);
      case 'releasing':
        return this.release(phase);
      case 'confirming':
        return this.confirm(phase);
      default:
        return unreachable(phase);
    }
  }

  /** What an earlier orderer left behind is finished or taken back first. */
  private inspect(): readonly SentOrder[] {
    if (!this.allReportedSince(this.sinceMs)) return [];
    const reports = this.reports();
    const [first] = reports;
    const isClean = reports.every(
      ({armed, heldPass}) => armed === undefined && heldPass === undefined
    );
    if (isClean) {
      this.listsKnown = reports.every(
        ({mapVersion}) => mapVersion === this.listsVersion
      );
      this.enter({kind: 'idle'});
      return [];
    }
    const heldPass = reports.find(report => report.heldPass)?.heldPass;
    const isAllArmed = reports.every(
      ({armed}) =>
        armed !== undefined &&
        armed.version === first?.armed?.version &&
        armed.pass === first?.armed?.pass
    );
    if (isAllArmed) return this.finishForeign(first, heldPass);
    return this.takeBack(heldPass);
  }

  /** Every rank is armed for the same: the earlier orderer was done but for go. */
  private finishForeign(
    report: RankReport | undefined,
    heldPass: number | undefined
  ): readonly SentOrder[] {
    const version = report?.armed?.version;
    if (heldPass === undefined || version === undefined) return [];
    this.listsKnown = false;
    const lists = this.inForce;
    const pass = heldPass;
    this.enter({kind: 'releasing', pass, then: 'confirming', version, lists});
    return this.advance();
  }

  /** Disarms everything, whoever armed it, and lets the group go after that. */
  private takeBack(heldPass: number | undefined): readonly SentOrder[] {
    for (const view of this.views) view.mayBeArmedLate = true;
    this.giveUp(heldPass);
    return this.advance();
  }

  /**
   * A hold that was carried out late, after its switch had ended, would stop
   * the group for good. It is let go only if no rank is armed, and none can be
   * by an earlier orderer; else everything is taken back first.
   */
  private handleStray(expected: number | undefined): readonly SentOrder[] {
    const heldRank = this.views.findIndex(
      ({report}) => report?.heldPass !== undefined
    );
    const heldPass = this.views[heldRank]?.report?.heldPass;
    const isArmed = this.reports().some(
      ({armed}) => armed !== undefined && armed.version !== expected
    );
    if (isArmed) return this.takeBack(heldPass);
    if (heldPass === undefined) return [];
    const view = this.views[heldRank];
    if (view === undefined || view.answeredAtMs > view.reportAtMs) return [];
    if (this.views.some(({isFenced}) => !isFenced))
      return this.takeBack(heldPass);
    return this.order(heldRank, {kind: 'go', pass: heldPass});
  }

  private prepare(
    phase: Extract<SwitchPhase, {kind: 'preparing'}>
  ): readonly SentOrder[] {
    const {version, lists} = phase;
    if (this.isPrepared(phase)) {
      this.enter(this.holdAhead(version, lists, 1));
      return this.advance();
    }
    if (this.ageMs > PREPARE_LIMIT_MS) {
      this.enter({kind: 'idle'});
      return [];
    }
    const stray = this.handleStray(undefined);
    if (this.phase !== phase) return stray;
    const orders = this.toAll(
      view => !view.isDone && view.report?.preparedVersion !== version,
      {kind: 'prepare', version, lists}
    );
    return [...stray, ...orders];
  }

  /** Reports show a copy late; the time that it takes is known. */
  private isPrepared({
    version,
  }: Extract<SwitchPhase, {kind: 'preparing'}>): boolean {
    return this.views.every(view => {
      if (view.report?.preparedVersion === version) return true;
      if (!view.isDone || view.mayBePrepared) return false;
      return this.nowMs - view.answeredAtMs >= this.copyMs;
    });
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
    const latest = Math.max(0, ...this.reports().map(({pass}) => pass));
    const newest = Math.max(...this.views.map(({reportAtMs}) => reportAtMs));
    const ageMs = Math.max(0, this.nowMs - newest) + REPORT_AGE_MS;
    const next = latest + Math.floor(ageMs / this.passMs) + 1;
    // Never the same pass twice: a late order of an earlier try must not fit.
    const pass = Math.max(next, this.lastPass + 1);
    this.lastPass = pass;
    return {kind: 'holding', version, lists, pass, tries};
  }

  private arm(
    phase: Extract<SwitchPhase, {kind: 'arming'}>
  ): readonly SentOrder[] {
    const {version, lists, pass} = phase;
    if (this.views.every(({isDone}) => isDone)) {
      this.enter({kind: 'releasing', pass, then: 'confirming', version, lists});
      return this.advance();
    }
    if (this.ageMs > ARM_LIMIT_MS) {
      this.giveUp(pass);
      return this.advance();
    }
    return this.toAll(({isDone}) => !isDone, {kind: 'arm', version, pass});
  }

  private clear(
    phase: Extract<SwitchPhase, {kind: 'clearing'}>
  ): readonly SentOrder[] {
    const isClear = this.views.every(view => this.isCleared(view));
    if (isClear) {
      for (const view of this.views) view.mayBeArmedLate = false;
      const {pass} = phase;
      const lists = this.inForce;
      this.enter(
        pass === undefined
          ? {kind: 'idle'}
          : {kind: 'releasing', pass, then: 'idle', version: 0, lists}
      );
      return this.advance();
    }
    return this.views.flatMap((view, rank) => this.clearOne(view, rank));
  }

  private isCleared(view: RankView): boolean {
    const {report, reportAtMs, answeredAtMs, isDisarmed, isDone} = view;
    if (!isDisarmed || report === undefined) return false;
    if (reportAtMs < answeredAtMs + SETTLE_MS) return false;
    if (report.armed !== undefined) return false;
    if (!view.mayBeArmedLate) return true;
    return isDone && report.preparedVersion === this.clearVersion;
  }

  private clearOne(view: RankView, rank: number): readonly SentOrder[] {
    const {armed} = view.report ?? {};
    const isLateArm =
      armed !== undefined && view.reportAtMs >= view.answeredAtMs + SETTLE_MS;
    if (!view.isDisarmed || isLateArm) {
      const version = armed?.version ?? this.clearVersion - 1;
      return this.order(rank, {kind: 'disarm', version});
    }
    if (!view.mayBeArmedLate || view.isDone) return [];
    const lists = this.inForce;
    const version = this.clearVersion;
    return this.order(rank, {kind: 'prepare', version, lists});
  }

  private release(
    phase: Extract<SwitchPhase, {kind: 'releasing'}>
  ): readonly SentOrder[] {
    if (this.views[0]?.isDone !== true)
      return this.order(0, {kind: 'go', pass: phase.pass});
    const {then, version, lists} = phase;
    this.enter(
      then === 'idle' ? {kind: 'idle'} : {kind: 'confirming', version, lists}
    );
    return this.advance();
  }

  private confirm(
    phase: Extract<SwitchPhase, {kind: 'confirming'}>
  ): readonly SentOrder[] {
    const isInForce = this.views.every(
      ({report}) => report?.mapVersion === phase.version
    );
    if (!isInForce) return this.handleStray(phase.version);
    this.inForce = phase.lists;
    this.enter({kind: 'idle'});
    return [];
  }

  private get ageMs(): number {
    return this.nowMs - this.sinceMs;
  }

  private reports(): readonly RankReport[] {
    return this.views.flatMap(({report}) => report ?? []);
  }

  private allReportedSince(ms: number): boolean {
    return this.views.every(({reportAtMs}) => reportAtMs >= ms);
  }

  private toAll(
    wants: (view: RankView) => boolean,
    order: RankOrder
  ): readonly SentOrder[] {
    return this.views.flatMap((view, rank) =>
      wants(view) ? this.order(rank, order) : []
    );
  }

  /** One order to a rank at a time. */
  private order(rank: number, order: RankOrder): readonly SentOrder[] {
    const view = this.views[rank];
    if (view === undefined || view.isBusy) return [];
    if (this.nowMs < view.restUntilMs) return [];
    view.isBusy = true;
    return [{rank, order}];
  }
}
