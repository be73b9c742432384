/**
 * The rank's state machine for switches of expert maps. The engine keeps the
 * promise by holding before the switch step; this decides which orders reach
 * the engine, while control alone decides a switch. Pure, driven by events.
 */

import {unreachable} from '../../core/errors';
import type {
  CommittedMap,
  DecisionMessage,
  JoinAnswer,
  PrepareMessage,
  PromiseRefusal,
  StageMessage,
  SwitchId,
  ToRankMessage,
} from '../../core/mapMessages';
import {fenceOfVersion} from '../../core/mapMessages';
import type {
  EngineView,
  RankAction,
  RankEvent,
  RankMapSwitchConfig,
} from './rankMapSwitchEvents';

interface PendingSwitch {
  readonly id: SwitchId;
  readonly state: 'loading' | 'promised';
  readonly decision?: 'commit' | 'abort';
}

/**
 * `joining` until control has sent the current fence and map, `starting` until
 * the engine runs with that map, then `ready`.
 */
type Stage = 'joining' | 'starting' | 'ready';

/** State machine of one rank; the caller executes the actions in order. */
export class RankMapSwitch {
  private stage: Stage = 'joining';
  private view?: EngineView;
  private attempt = 0;
  private answer?: JoinAnswer;
  private knownFence = 0;
  private decidedVersion = 0;
  private pending?: PendingSwitch;
  private lastRequestAtMs = -Infinity;

  constructor(private readonly cfg: RankMapSwitchConfig) {}

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
    const previous = this.view;
    this.view = view;
    const restarted = previous !== undefined && previous.bootId !== view.bootId;
    const lostMap = this.stage === 'ready' && !view.running;
    // A restarted engine has lost its promise, so the rank joins again. The
    // reply also proves that the promised switch has been decided.
    if (restarted || lostMap) return this.restartJoin();
    if (this.stage !== 'ready') return [];
    return this.reconcile(view);
  }

  private restartJoin(): readonly RankAction[] {
    this.stage = 'joining';
    this.attempt++;
    this.lastRequestAtMs = -Infinity;
    this.pending = undefined;
    return [];
  }

  /** Reconciles the pending switch with the prepared version of the engine. */
  private reconcile(view: EngineView): readonly RankAction[] {
    const {pending} = this;
    const preparedVersion = view.preparedVersion;
    if (pending?.state === 'loading') return [];
    if (pending === undefined) {
      if (preparedVersion !== undefined) this.adoptPromise(preparedVersion);
      return [];
    }
    const {id, decision} = pending;
    if (decision === undefined) return [];
    if (preparedVersion === id.version) return [this.decide(id, decision)];
    // A join reply has only two maps. If the next switch were prepared before
    // the engine runs with this one, a restarted rank could need a third.
    if (decision === 'commit' && view.mapVersion < id.version) return [];
    this.decidedVersion = Math.max(this.decidedVersion, id.version);
    this.pending = undefined;
    return [];
  }

  /** Takes over a promise that the engine gave to an earlier agent boot. */
  private adoptPromise(version: number): void {
    const fence = fenceOfVersion(version);
    const id = {group: this.cfg.group, fence, version};
    this.pending = {id, state: 'promised'};
  }

  private onJoinAnswer(answer: JoinAnswer): readonly RankAction[] {
    // The reply to an earlier attempt may predate a switch.
    const isCurrentAttempt = answer.attempt === this.attemptId();
    if (!isCurrentAttempt || this.stage !== 'joining' || !this.view) return [];
    this.knownFence = Math.max(this.knownFence, answer.fence);
    this.decidedVersion = Math.max(this.decidedVersion, answer.current.version);
    this.pending = this.incompleteSwitch(answer.current, this.view);
    if (this.view.running) {
      this.stage = 'ready';
      return this.reconcile(this.view);
    }
    this.stage = 'starting';
    this.answer = answer;
    return [this.startAction(answer)];
  }

  /**
   * The newest committed switch, if the engine does not run with its map yet.
   */
  private incompleteSwitch(
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
    // An agent that has just started does not know the newest fence or the
    // promise of its engine, which a late order could undo.
    if (this.stage !== 'ready') return [this.refusal(order, 'unready')];
    // Some engines do not check fences, so the agent does.
    if (order.fence < this.knownFence) return [this.refusal(order, 'fenced')];
    this.knownFence = order.fence;
    const {pending} = this;
    if (pending?.id.version === order.version)
      return this.repeatPromise(pending);
    // The earlier switch may have been committed, so its promise stands until
    // control sends the decision, even if a newer leader prepares another
    // switch.
    if (pending) return [this.refusal(order, 'busy'), this.query(pending.id)];
    if (order.version <= this.decidedVersion)
      return [this.refusal(order, 'fenced')];
    const {group, fence, version} = order;
    this.pending = {id: {group, fence, version}, state: 'loading'};
    return [{kind: 'prepareEngine', order}];
  }

  private repeatPromise(pending: PendingSwitch): readonly RankAction[] {
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
    this.lastRequestAtMs = nowMs;
    // The rank may promise only now that the engine holds.
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
   * Sends the decision with the newest known fence, since a decision stays
   * valid across leaders. An engine that has accepted orders of a newer leader
   * would reject the fence of the switch, and the whole group would hold
   * forever.
   */
  private decide(id: SwitchId, decision: 'commit' | 'abort'): RankAction {
    return {kind: 'decideEngine', id, fence: this.knownFence, decision};
  }

  private onTick(nowMs: number): readonly RankAction[] {
    if (nowMs - this.lastRequestAtMs < this.cfg.retryIntervalMs) return [];
    const requests = this.dueRequests(nowMs);
    if (requests.length > 0) this.lastRequestAtMs = nowMs;
    return requests;
  }

  private dueRequests(nowMs: number): readonly RankAction[] {
    const {pending, stage} = this;
    if (stage === 'starting' && this.answer)
      return [this.startAction(this.answer)];
    if (stage === 'joining') return this.join(nowMs);
    const isUndecided = pending?.state === 'promised' && !pending.decision;
    return pending && isUndecided ? [this.query(pending.id)] : [];
  }

  private join(nowMs: number): readonly RankAction[] {
    // Orders of the previous agent boot may still reach the engine, and could
    // undo a promise that is given before they expire.
    const earlierOrdersExpired =
      nowMs - this.cfg.bootAtMs >= this.cfg.maxOrderDelayMs;
    if (!earlierOrdersExpired || !this.view) return [];
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
