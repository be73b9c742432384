/**
 * The controller side of map switches of one group, a pure event-driven state
 * machine. A switch is a two-phase commit: all ranks promise, the decision is
 * committed to the log, and only then is it sent to the ranks.
 */

import {unreachable} from '../../core/errors';
import type {
  ExpertMap,
  JoinRequest,
  PromiseMessage,
  RefusalMessage,
  SwitchMessage,
  ToRankMessage,
} from '../../core/mapMessages';
import {versionOf} from '../../core/mapMessages';
import type {MapDecisionCommand} from '../state/command';
import type {GroupMaps} from './mapState';
import type {Attempt, Phase} from './mapSwitchPhase';
import {WaitingJoins} from './waitingJoins';
import type {
  AbortReason,
  MapSwitchConfig,
  SwitchAction,
  SwitchEvent,
} from './mapSwitchEvents';

/** State machine of one group; the caller carries out the actions in order. */
export class MapSwitch {
  private phase: Phase = {kind: 'following'};
  private switchCount = 0;
  private marginPasses: number;
  private readonly waitingJoins = new WaitingJoins();
  private readSeq = 0;
  private minReadSeq = 0;
  private newestFence = 0;
  /** Whether the group is known to have a committed map. */
  private hasMap = false;
  private lastSentAtMs = -Infinity;

  constructor(private readonly cfg: MapSwitchConfig) {
    this.marginPasses = cfg.marginPasses;
  }

  /** Whether a new switch may start; waiting joins are answered first. */
  get idle(): boolean {
    const isFree = this.phase.kind === 'idle' && this.waitingJoins.size === 0;
    return isFree && this.hasMap;
  }

  /** The fence of this instance once it has one. */
  get fence(): number | undefined {
    return 'fence' in this.phase ? this.phase.fence : undefined;
  }

  handle(event: SwitchEvent, nowMs: number): readonly SwitchAction[] {
    switch (event.kind) {
      case 'lead':
        return this.phase.kind === 'following' ? this.requestFence(nowMs) : [];
      case 'resign':
        return this.resign();
      case 'fence':
        return this.onFence(event.fence);
      case 'decided':
        return this.onDecided(event.version, event.result, nowMs);
      case 'read':
        return this.onRead(event.seq, event.maps, nowMs);
      case 'start':
        return this.start(event.map, event.step, nowMs);
      case 'message':
        return this.onMessage(event.message);
      case 'tick':
        return this.onTick(nowMs);
      default:
        return unreachable(event);
    }
  }

  private requestFence(nowMs: number): readonly SwitchAction[] {
    this.phase = {kind: 'fencing'};
    this.lastSentAtMs = nowMs;
    return [this.fenceAction()];
  }

  private fenceAction(): SwitchAction {
    const {group, holder} = this.cfg;
    return {kind: 'propose', command: {kind: 'fence', group, holder}};
  }

  private resign(): readonly SwitchAction[] {
    this.phase = {kind: 'following'};
    this.waitingJoins.clear();
    return [];
  }

  private onFence(fence: number): readonly SwitchAction[] {
    // Accepting a fence twice would give two switches the same version.
    if (this.phase.kind !== 'fencing' || fence <= this.newestFence) return [];
    this.phase = {kind: 'idle', fence};
    this.newestFence = fence;
    this.minReadSeq = this.readSeq + 1;
    this.switchCount = 0;
    this.hasMap = false;
    return [this.read()];
  }

  private read(): SwitchAction {
    return {kind: 'read', seq: ++this.readSeq};
  }

  private onRead(
    seq: number,
    maps: GroupMaps,
    nowMs: number
  ): readonly SwitchAction[] {
    const {phase} = this;
    // A read that began before the last decision may not include it.
    if (phase.kind !== 'idle' || seq < this.minReadSeq) return [];
    // A newer controller may have started switches that are unknown here.
    if (maps.fence !== phase.fence) return this.requestFence(nowMs);
    if (maps.current === undefined) return this.decideFirstMap(phase.fence);
    this.hasMap = true;
    return this.waitingJoins.answerFrom(seq, this.cfg.group, maps);
  }

  /** Ranks do not run without a map, so the first map needs no promises. */
  private decideFirstMap(fence: number): readonly SwitchAction[] {
    const map = this.cfg.initialMap;
    const command = this.command(fence, map, 0);
    const attempt = {
      command,
      map,
      promised: new Set<number>(),
      deadlineMs: Infinity,
    };
    return this.decide({kind: 'preparing', fence, attempt}, undefined);
  }

  private start(
    map: ExpertMap,
    step: number,
    nowMs: number
  ): readonly SwitchAction[] {
    if (this.phase.kind !== 'idle' || !this.idle) return [];
    const {fence} = this.phase;
    const command = this.command(fence, map, step + this.marginPasses);
    const deadlineMs = nowMs + this.cfg.promiseTimeoutMs;
    const attempt = {command, map, promised: new Set<number>(), deadlineMs};
    this.phase = {kind: 'preparing', fence, attempt};
    this.lastSentAtMs = nowMs;
    return this.prepareActions(attempt);
  }

  private command(
    fence: number,
    map: ExpertMap,
    switchStep: number
  ): MapDecisionCommand {
    const {group} = this.cfg;
    const version = versionOf(fence, ++this.switchCount);
    const decision = 'commit';
    const {slots, shares} = map;
    return {
      kind: 'mapDecision',
      group,
      fence,
      version,
      switchStep,
      decision,
      slots,
      shares,
    };
  }

  private prepareActions(attempt: Attempt): readonly SwitchAction[] {
    const {group, fence, version, switchStep} = attempt.command;
    const {map} = attempt;
    const message = {
      kind: 'prepare',
      group,
      fence,
      version,
      switchStep,
      map,
    } as const;
    return this.sendActions(message, rank => !attempt.promised.has(rank));
  }

  private sendActions(
    message: ToRankMessage,
    isRecipient: (rank: number) => boolean = () => true
  ): readonly SwitchAction[] {
    return Array.from({length: this.cfg.ranks}, (_, rank) => rank)
      .filter(isRecipient)
      .map(rank => ({kind: 'send', rank, message}));
  }

  private onMessage(message: SwitchMessage): readonly SwitchAction[] {
    if (message.group !== this.cfg.group) return [];
    switch (message.kind) {
      case 'promise':
        return this.onPromise(message);
      case 'refusal':
        return this.onRefusal(message);
      case 'join':
        return this.onJoin(message);
      case 'decisionQuery': {
        const {group, fence, version, rank} = message;
        const id = {group, fence, version};
        return [{kind: 'answerQuery', id, rank}];
      }
      default:
        return unreachable(message);
    }
  }

  private onPromise(message: PromiseMessage): readonly SwitchAction[] {
    const {phase} = this;
    if (phase.kind !== 'preparing') return [];
    if (message.version !== phase.attempt.command.version) return [];
    const promised = new Set([...phase.attempt.promised, message.rank]);
    const attempt = {...phase.attempt, promised};
    const next = {...phase, attempt};
    this.phase = next;
    // Every rank must hold; one that does not would continue with the old map.
    if (promised.size < this.cfg.ranks) return [];
    this.marginPasses = this.cfg.marginPasses;
    return this.decide(next, undefined);
  }

  private onRefusal(message: RefusalMessage): readonly SwitchAction[] {
    const {phase} = this;
    if (phase.kind !== 'preparing') return [];
    if (message.version !== phase.attempt.command.version) return [];
    switch (message.reason) {
      // The rank is starting or finishing an earlier switch. It may still
      // promise before the timeout, as the prepare message is sent again.
      case 'unready':
      case 'busy':
        return [];
      case 'passed':
        this.doubleMargin();
        return this.decide(phase, 'passed');
      case 'load-failed':
      case 'fenced':
        return this.decide(phase, message.reason);
      default:
        return unreachable(message.reason);
    }
  }

  private doubleMargin(): void {
    const doubled = 2 * this.marginPasses;
    this.marginPasses = Math.min(doubled, this.cfg.maxMarginPasses);
  }

  private onJoin(req: JoinRequest): readonly SwitchAction[] {
    const {phase} = this;
    if (phase.kind === 'following') return [];
    this.waitingJoins.add(req, this.readSeq + 1);
    // The restarted rank has lost its promise. A pending switch must be decided
    // before the rank receives a map, or the rank would miss the switch.
    if (phase.kind === 'preparing') return this.decide(phase, 'joined');
    return phase.kind === 'idle' ? [this.read()] : [];
  }

  /** Proposes the decision; it is sent to ranks only after it is recorded. */
  private decide(
    phase: Extract<Phase, {attempt: Attempt}>,
    reason: AbortReason | undefined
  ): readonly SwitchAction[] {
    const decision = reason === undefined ? 'commit' : 'abort';
    const command = {...phase.attempt.command, decision} as const;
    const attempt = {...phase.attempt, command, reason};
    this.phase = {kind: 'deciding', fence: phase.fence, attempt};
    return [{kind: 'propose', command}];
  }

  private onDecided(
    version: number,
    result: 'recorded' | 'fenced',
    nowMs: number
  ): readonly SwitchAction[] {
    const {phase} = this;
    if (phase.kind !== 'deciding') return [];
    const {command, map, reason} = phase.attempt;
    if (version !== command.version) return [];
    if (result === 'fenced')
      return [abortedAction('fenced'), ...this.requestFence(nowMs)];
    this.phase = {kind: 'idle', fence: phase.fence};
    this.minReadSeq = this.readSeq + 1;
    const {group, fence, decision} = command;
    const message = {
      kind: 'decision',
      group,
      fence,
      version,
      decision,
    } as const;
    const decisions = this.sendActions(message);
    const outcome = reason ? abortedAction(reason) : switchedAction(map);
    const needsRead = this.waitingJoins.size > 0 || !this.hasMap;
    const read = needsRead ? [this.read()] : [];
    return [...decisions, outcome, ...read];
  }

  private retryIntervalMs(): number {
    const awaitsProposal =
      this.phase.kind === 'fencing' || this.phase.kind === 'deciding';
    return awaitsProposal ? this.cfg.proposeRetryMs : this.cfg.resendMs;
  }

  private onTick(nowMs: number): readonly SwitchAction[] {
    const {phase} = this;
    if (phase.kind === 'preparing' && nowMs >= phase.attempt.deadlineMs) {
      this.doubleMargin();
      return this.decide(phase, 'timeout');
    }
    if (nowMs - this.lastSentAtMs < this.retryIntervalMs()) return [];
    this.lastSentAtMs = nowMs;
    switch (phase.kind) {
      case 'following':
        return [];
      case 'fencing':
        return [this.fenceAction()];
      case 'idle':
        return this.waitingJoins.size > 0 || !this.hasMap ? [this.read()] : [];
      case 'preparing':
        return this.prepareActions(phase.attempt);
      // Repeats the same decision, never another: the first may be recorded.
      case 'deciding':
        return [{kind: 'propose', command: phase.attempt.command}];
      default:
        return unreachable(phase);
    }
  }
}

function abortedAction(reason: AbortReason): SwitchAction {
  return {kind: 'ended', result: {kind: 'aborted', reason}};
}

function switchedAction(map: ExpertMap): SwitchAction {
  return {kind: 'ended', result: {kind: 'switched', map}};
}
