/**
 * The rank's side of a switch of expert maps: pure, driven by events. The
 * promise itself is kept by the engine, which holds before the switch step;
 * this decides which orders reach the engine, and never decides a switch.
 */

import {unreachable} from '../../core/errors';
import type {
  CommittedMap,
  DecisionMessage,
  FromRankMessage,
  JoinAnswer,
  PrepareMessage,
  PromiseRefusal,
  StageMessage,
  SwitchId,
  ToRankMessage,
} from '../../core/mapMessages';
import {fenceOfVersion} from '../../core/mapMessages';

/** What the engine shows of itself. */
export interface EngineView {
  /** Random at each start of the engine. */
  readonly bootId: string;
  /** Whether it has a map and takes part in steps. */
  readonly running: boolean;
  /** Next step to run. */
  readonly step: number;
  /** Map of the last step that was run; 0 for none. */
  readonly mapVersion: number;
  /** Version before whose step it holds until it is told. */
  readonly preparedVersion?: number;
}

/** What became of an order to hold before a step. */
export type PrepareResult = 'held' | 'passed' | 'failed';

/** What the rank's side reacts to. */
export type RankEvent =
  | {readonly kind: 'engine'; readonly view: EngineView}
  | {readonly kind: 'message'; readonly message: ToRankMessage}
  | {
      readonly kind: 'prepared';
      readonly bootId: string;
      readonly version: number;
      readonly result: PrepareResult;
    }
  /** The outcome of the order to prepare is not known. */
  | {readonly kind: 'prepareLost'; readonly version: number}
  | {readonly kind: 'started'; readonly bootId: string}
  | {
      readonly kind: 'staged';
      readonly order: StageMessage;
      readonly ok: boolean;
    }
  | {readonly kind: 'tick'};

/** What is to be done. */
export type RankAction =
  | {readonly kind: 'send'; readonly message: FromRankMessage}
  /** Run with `previous` below `current.switchStep`, else with `current`. */
  | {
      readonly kind: 'startEngine';
      readonly fence: number;
      readonly current: CommittedMap;
      readonly previous?: CommittedMap;
    }
  | {readonly kind: 'prepareEngine'; readonly order: PrepareMessage}
  | {readonly kind: 'stageEngine'; readonly order: StageMessage}
  | {
      readonly kind: 'decideEngine';
      readonly id: SwitchId;
      /** Newest fence known; that of the switch may be older. */
      readonly fence: number;
      readonly decision: 'commit' | 'abort';
    };

/** Who this is, and its times in milliseconds. */
export interface RankSwitchConfig {
  readonly group: string;
  readonly rank: number;
  readonly agentBootId: string;
  readonly bootAtMs: number;
  /** Longest that an order to the engine can still take effect. */
  readonly quietMs: number;
  /** Time between two requests of the same kind. */
  readonly retryMs: number;
}

interface PendingSwitch {
  readonly id: SwitchId;
  readonly state: 'loading' | 'promised';
  readonly decision?: 'commit' | 'abort';
}

/** `learning` until control has told fence and map, then `starting`, `ready`. */
type Stage = 'learning' | 'starting' | 'ready';

/** Decides for one rank; the caller carries out the actions in order. */
export class RankSwitch {
  private stage: Stage = 'learning';
  private view?: EngineView;
  private attempt = 0;
  private answer?: JoinAnswer;
  private knownFence = 0;
  private decidedVersion = 0;
  private pending?: PendingSwitch;
  private askedAtMs = -Infinity;

  constructor(private readonly cfg: RankSwitchConfig) {}

  get ready(): boolean {
    return this.stage === 'ready';
  }

  handle(event: RankEvent, nowMs: number): readonly RankAction[] {
    switch (event.kind) {
      case 'engine':
        return this.onView(event.view);
      case 'message':
        return this.onMessage(event.message);
      case 'prepared':
        return this.onPrepared(event, nowMs);
      case 'prepareLost':
        return this.onPrepareLost(event.version);
      case 'started':
        return this.onStarted(event.bootId);
      case 'staged':
        return this.onStaged(event.order, event.ok);
      case 'tick':
        return this.onTick(nowMs);
      default:
        return unreachable(event);
    }
  }

  private onMessage(message: ToRankMessage): readonly RankAction[] {
    if (message.group !== this.cfg.group) return [];
    switch (message.kind) {
      case 'joinAnswer':
        return this.onJoinAnswer(message);
      case 'prepare':
        return this.onPrepare(message);
      case 'decision':
        return this.onDecision(message);
      case 'stage':
        return this.onStage(message);
      default:
        return unreachable(message);
    }
  }

  private onView(view: EngineView): readonly RankAction[] {
    const before = this.view;
    this.view = view;
    const restarted = before !== undefined && before.bootId !== view.bootId;
    const lostMap = this.stage === 'ready' && !view.running;
    // A restarted engine has forgotten its promise. The rank must learn anew,
    // which also makes sure that what it had promised is decided by then.
    if (restarted || lostMap) return this.learnAgain();
    if (this.stage !== 'ready') return [];
    return this.reconcile(view);
  }

  private learnAgain(): readonly RankAction[] {
    this.stage = 'learning';
    this.attempt++;
    this.askedAtMs = -Infinity;
    this.pending = undefined;
    return [];
  }

  /** Brings what is known here in line with what the engine holds. */
  private reconcile(view: EngineView): readonly RankAction[] {
    const {pending} = this;
    const held = view.preparedVersion;
    if (pending?.state === 'loading') return [];
    if (pending === undefined) {
      if (held !== undefined) this.adopt(held);
      return [];
    }
    const {id, decision} = pending;
    if (decision === undefined) return [];
    if (held === id.version) return [this.decide(id, decision)];
    // A restarted rank is told two maps only. With one more switch before the
    // engine runs with this one there would be a third that it could need.
    if (decision === 'commit' && view.mapVersion < id.version) return [];
    this.decidedVersion = Math.max(this.decidedVersion, id.version);
    this.pending = undefined;
    return [];
  }

  /** Takes over a promise that an earlier boot of the agent has had given. */
  private adopt(version: number): void {
    const fence = fenceOfVersion(version);
    const id = {group: this.cfg.group, fence, version};
    this.pending = {id, state: 'promised'};
  }

  private onJoinAnswer(answer: JoinAnswer): readonly RankAction[] {
    // The answer to an earlier attempt may be from before a switch.
    const asked = answer.attempt === this.attemptId();
    if (!asked || this.stage !== 'learning' || !this.view) return [];
    this.knownFence = Math.max(this.knownFence, answer.fence);
    this.decidedVersion = Math.max(this.decidedVersion, answer.current.version);
    this.pending = this.switchAhead(answer.current, this.view);
    if (this.view.running) {
      this.stage = 'ready';
      return this.reconcile(this.view);
    }
    this.stage = 'starting';
    this.answer = answer;
    return [this.startAction(answer)];
  }

  /** The newest switch, if the engine has yet to run with it. */
  private switchAhead(
    current: CommittedMap,
    view: EngineView
  ): PendingSwitch | undefined {
    const {version} = current;
    if (view.mapVersion >= version) return undefined;
    const {group} = this.cfg;
    const id = {group, fence: fenceOfVersion(version), version};
    return {id, state: 'promised', decision: 'commit'};
  }

  private startAction(answer: JoinAnswer): RankAction {
    const {fence, current, previous} = answer;
    return {kind: 'startEngine', fence, current, previous};
  }

  private onStarted(bootId: string): readonly RankAction[] {
    if (this.stage !== 'starting' || bootId !== this.view?.bootId) return [];
    this.stage = 'ready';
    this.view = {...this.view, running: true};
    return [];
  }

  private onPrepare(order: PrepareMessage): readonly RankAction[] {
    // An agent that has just started knows neither the newest fence nor what
    // its engine has promised: an old order could undo that promise.
    if (this.stage !== 'ready') return [this.refusal(order, 'unready')];
    // Not all engines check fences; this is the check for those.
    if (order.fence < this.knownFence) return [this.refusal(order, 'fenced')];
    this.knownFence = order.fence;
    const {pending} = this;
    if (pending?.id.version === order.version) return this.again(pending);
    // The earlier switch may have been committed: its promise stands until
    // control has said what became of it, whoever asks for another.
    if (pending) return [this.refusal(order, 'busy'), this.query(pending.id)];
    if (order.version <= this.decidedVersion)
      return [this.refusal(order, 'fenced')];
    const {group, fence, version} = order;
    this.pending = {id: {group, fence, version}, state: 'loading'};
    return [{kind: 'prepareEngine', order}];
  }

  private again(pending: PendingSwitch): readonly RankAction[] {
    return pending.state === 'promised' ? [this.promise(pending.id)] : [];
  }

  private onPrepared(
    event: Extract<RankEvent, {kind: 'prepared'}>,
    nowMs: number
  ): readonly RankAction[] {
    const {pending} = this;
    if (event.bootId !== this.view?.bootId) return [];
    if (pending?.id.version !== event.version) return [];
    const {id, decision} = pending;
    if (event.result !== 'held') {
      this.pending = undefined;
      const passed = event.result === 'passed';
      return [this.refusal(id, passed ? 'passed' : 'load-failed')];
    }
    this.pending = {...pending, state: 'promised'};
    this.askedAtMs = nowMs;
    // Only now, with the engine holding, is the promise true.
    if (decision === undefined) return [this.promise(id)];
    return [this.decide(id, decision)];
  }

  private onPrepareLost(version: number): readonly RankAction[] {
    const {pending} = this;
    if (pending?.id.version !== version || pending.state !== 'loading')
      return [];
    this.pending = undefined;
    return [this.refusal(pending.id, 'load-failed')];
  }

  private onStage(order: StageMessage): readonly RankAction[] {
    if (this.stage !== 'ready' || order.fence < this.knownFence)
      return this.onStaged(order, false);
    this.knownFence = order.fence;
    return [{kind: 'stageEngine', order}];
  }

  private onStaged(order: StageMessage, ok: boolean): readonly RankAction[] {
    const {group, slot, expert} = order;
    const {rank} = this.cfg;
    const message = {kind: 'staged', group, rank, slot, expert, ok} as const;
    return [{kind: 'send', message}];
  }

  private onDecision(message: DecisionMessage): readonly RankAction[] {
    const {pending} = this;
    if (pending?.id.version !== message.version) return [];
    const {decision} = message;
    this.pending = {...pending, decision};
    if (pending.state === 'loading') return [];
    return [this.decide(pending.id, decision)];
  }

  /**
   * A decision is durable, whoever led when its switch was prepared. Under that
   * older fence an engine that has since obeyed a new leader would refuse it,
   * and its rank would stand at the barrier, with the whole group, for good.
   */
  private decide(id: SwitchId, decision: 'commit' | 'abort'): RankAction {
    return {kind: 'decideEngine', id, fence: this.knownFence, decision};
  }

  private onTick(nowMs: number): readonly RankAction[] {
    if (nowMs - this.askedAtMs < this.cfg.retryMs) return [];
    const asked = this.ask(nowMs);
    if (asked.length > 0) this.askedAtMs = nowMs;
    return asked;
  }

  private ask(nowMs: number): readonly RankAction[] {
    const {pending, stage} = this;
    if (stage === 'starting' && this.answer)
      return [this.startAction(this.answer)];
    if (stage === 'learning') return this.join(nowMs);
    const waits = pending?.state === 'promised' && !pending.decision;
    return pending && waits ? [this.query(pending.id)] : [];
  }

  private join(nowMs: number): readonly RankAction[] {
    // Orders of the agent's last boot may still reach the engine; a promise
    // given before they are over could be undone by one of them.
    const quiet = nowMs - this.cfg.bootAtMs >= this.cfg.quietMs;
    if (!quiet || !this.view) return [];
    const {group, rank} = this.cfg;
    const attempt = this.attemptId();
    return [{kind: 'send', message: {kind: 'join', group, rank, attempt}}];
  }

  private attemptId(): string {
    return `${this.cfg.agentBootId}/${this.attempt}`;
  }

  private promise(id: SwitchId): RankAction {
    const {rank} = this.cfg;
    return {kind: 'send', message: {kind: 'promise', ...id, rank}};
  }

  private query(id: SwitchId): RankAction {
    const {rank} = this.cfg;
    return {kind: 'send', message: {kind: 'decisionQuery', ...id, rank}};
  }

  private refusal(id: SwitchId, reason: PromiseRefusal): RankAction {
    const {group, fence, version} = id;
    const message = {
      kind: 'refusal',
      group,
      fence,
      version,
      rank: this.cfg.rank,
      reason,
      knownFence: this.knownFence,
      step: this.view?.step ?? 0,
    } as const;
    return {kind: 'send', message};
  }
}
