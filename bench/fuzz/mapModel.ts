/**
 * Map switches under seeded schedules: ranks in lock-step, two competing
 * controllers, restarts of engines, agents and controllers at any time, late,
 * lost and duplicated messages, engines with and without checks of the fencing
 * token. Checks that all ranks run each pass with the same map, that decided
 * versions never fall, and that the group makes passes and switches maps again
 * after the faults.
 */

import type {
  RankAction,
  RankEvent,
} from '../../src/agent/maps/rankMapSwitchEvents';
import {RankMapSwitch} from '../../src/agent/maps/rankMapSwitch';
import {MapState} from '../../src/control/maps/mapState';
import {MapSwitch} from '../../src/control/maps/mapSwitch';
import type {
  SwitchAction,
  SwitchEvent,
} from '../../src/control/maps/mapSwitchEvents';
import type {
  ExpertMap,
  FromRankMessage,
  StageMessage,
  ToRankMessage,
} from '../../src/core/mapMessages';
import type {FuzzModel} from './fuzzModel';
import {LockStepEngine} from './lockStepEngine';
import type {EngineOrder} from './lockStepEngine';
import {MapHistory} from './mapHistory';
import type {EngineMessage, LogRpcMessage, RankMessage} from './mapMessages';
import {Network, SeededRandom} from './schedule';

const GROUP = 'g';
const CONTROLLERS = 2;
const MAX_ORDER_DELAY_MS = 40;
const FAULTS_MS = 2500;
const RECOVERY_MS = 5000;
const TICK_MS = 5;
const RELIABLE = {drop: 0, duplicate: 0, maxDelayMs: 10};
/** Chance that a rank that may run its pass does not run it in this tick. */
const STALL_CHANCE = 0.2;
/** Added to the seed for the random numbers of weight loads. */
const STAGE_SEED_OFFSET = 1_000_000;
const EXPERT_MAP: ExpertMap = {slots: [[0]], shares: [[1]]};

interface RankNode {
  readonly engine: LockStepEngine;
  agent?: RankMapSwitch;
  agentBoot: number;
}

interface ControllerNode {
  machine?: MapSwitch;
  boot: number;
}

class MapSwitchSimulation {
  private readonly random: SeededRandom;
  private rankNet: Network<RankMessage>;
  private logNet: Network<LogRpcMessage>;
  /** Network of the time with faults; its messages in flight still arrive. */
  private faultyNet?: Network<RankMessage>;
  private faultyLogNet?: Network<LogRpcMessage>;
  private readonly engineLink: Network<EngineMessage>;
  /**
   * Random numbers for weight loads alone. Loads don't change the numbers that
   * the rest of the schedule draws for a seed.
   */
  private readonly stageRandom: SeededRandom;
  /** Orders to load weights that are under way. */
  private readonly loads: Network<StageMessage>;
  private readonly state = new MapState();
  private readonly ranks: RankNode[];
  private readonly controllers: ControllerNode[];
  private readonly history = new MapHistory();
  private now = 0;
  switchCount = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    const drop = this.random.pick([0, 0.05, 0.2]);
    const duplicate = this.random.pick([0, 0.1]);
    const maxDelayMs = this.random.pick([10, 60, 300]);
    this.rankNet = new Network(this.random, {drop, duplicate, maxDelayMs});
    this.logNet = new Network(this.random, {
      drop: drop / 2,
      duplicate: 0,
      maxDelayMs: this.random.pick([5, 50, 200]),
    });
    this.engineLink = new Network(this.random, {
      drop: 0,
      duplicate: 0,
      maxDelayMs: this.random.pick([2, MAX_ORDER_DELAY_MS / 4]),
    });
    this.stageRandom = new SeededRandom(seed + STAGE_SEED_OFFSET);
    this.loads = new Network(this.stageRandom, {...RELIABLE, maxDelayMs: 300});
    const fencing = this.random.chance(0.5);
    this.ranks = Array.from({length: this.random.int(4, 8)}, () => ({
      engine: new LockStepEngine(fencing),
      agentBoot: 0,
    }));
    this.ranks.forEach((_, rank) => this.startAgent(rank));
    this.controllers = Array.from({length: CONTROLLERS}, () => ({boot: 0}));
    this.controllers.forEach((_, index) => this.startController(index));
  }

  run(): void {
    this.controlEvent(0, {kind: 'lead'});
    while (this.now < FAULTS_MS) this.advance(() => this.injectFaults());
    this.endFaults();
    const steps = this.ranks.map(node => node.engine.step);
    const switchesBefore = this.switchCount;
    while (this.now < FAULTS_MS + RECOVERY_MS) this.advance(() => undefined);
    this.checkProgress(steps, switchesBefore);
  }

  private advance(injectFault: () => void): void {
    this.now += TICK_MS;
    injectFault();
    this.deliver();
    this.ranks.forEach((_, rank) => this.tickRank(rank));
    this.runPasses();
    this.controllers.forEach((_, index) => this.tickController(index));
  }

  private deliver(): void {
    for (const {to, message} of this.arrivals(this.rankNet, this.faultyNet)) {
      if (message.kind === 'toRank') this.deliverToRank(to, message.message);
      else this.deliverFromRank(to, message.message);
    }
    for (const {from, to, message} of this.arrivals(
      this.logNet,
      this.faultyLogNet
    )) {
      if (message.action) this.serveLog(from, message.boot, message.action);
      const target = this.controllers[Number(to)];
      if (message.event && target?.boot === message.boot)
        this.controlEvent(Number(to), message.event);
    }
    for (const {to, message} of this.engineLink.advance(TICK_MS))
      this.handleEngineMessage(Number(to), message);
    for (const {to, message} of this.loads.advance(TICK_MS))
      this.rankEvent(Number(to), {kind: 'message', message});
  }

  private arrivals<M>(net: Network<M>, faultyNet?: Network<M>) {
    return [...(faultyNet?.advance(TICK_MS) ?? []), ...net.advance(TICK_MS)];
  }

  // Ranks.

  private startAgent(rank: number): void {
    const node = this.node(rank);
    node.agentBoot++;
    node.agent = new RankMapSwitch({
      group: GROUP,
      rank,
      agentBootId: `a${rank}.${node.agentBoot}`,
      bootAtMs: this.now,
      maxOrderDelayMs: MAX_ORDER_DELAY_MS,
      retryIntervalMs: 30,
    });
  }

  private node(rank: number): RankNode {
    const node = this.ranks[rank];
    if (node === undefined) throw new Error(`no rank ${rank}`);
    return node;
  }

  private tickRank(rank: number): void {
    const {engine} = this.node(rank);
    if (engine.up) this.rankEvent(rank, {kind: 'engine', view: engine.view()});
    this.rankEvent(rank, {kind: 'tick'});
  }

  private deliverToRank(to: string, message: ToRankMessage): void {
    this.rankEvent(Number(to.slice(1)), {kind: 'message', message});
  }

  private rankEvent(rank: number, event: RankEvent): void {
    const actions = this.node(rank).agent?.handle(event, this.now) ?? [];
    actions.forEach(action => this.rankAction(rank, action));
  }

  private rankAction(rank: number, action: RankAction): void {
    switch (action.kind) {
      case 'send':
        return this.broadcast(rank, action.message);
      // Without delay: stage orders are delayed on their way to the agent.
      case 'stageEngine':
        return void this.node(rank).engine.apply(action, false);
      default:
        return this.orderEngine(rank, action);
    }
  }

  private broadcast(rank: number, payload: FromRankMessage): void {
    if (payload.kind === 'staged') return;
    const message: RankMessage = {kind: 'fromRank', message: payload};
    // A rank does not know the leader: it sends to every control instance.
    this.controllers.forEach((_, index) =>
      this.rankNet.send(`r${rank}`, `${index}`, message)
    );
  }

  private orderEngine(rank: number, order: EngineOrder): void {
    const {agentBoot, engine} = this.node(rank);
    this.engineLink.send('agent', `${rank}`, {
      agentBoot,
      engineBoot: engine.boot,
      order,
    });
  }

  private handleEngineMessage(rank: number, message: EngineMessage): void {
    const node = this.node(rank);
    // A restart of the engine closes the connection, one of the agent does not.
    if (message.engineBoot !== node.engine.boot) return;
    if (message.order) {
      const answer = node.engine.apply(message.order, this.random.chance(0.05));
      if (answer)
        this.engineLink.send('engine', `${rank}`, {
          ...message,
          order: undefined,
          answer,
        });
      return;
    }
    if (message.answer && message.agentBoot === node.agentBoot)
      this.rankEvent(rank, message.answer);
  }

  /** Each rank runs at most one pass, and none gets more than one ahead. */
  private runPasses(): void {
    const lowest = Math.min(...this.ranks.map(({engine}) => engine.step));
    for (const {engine} of this.ranks) {
      if (engine.step !== lowest || !this.allRanksReady(lowest)) continue;
      if (this.random.chance(STALL_CHANCE)) continue;
      const version = engine.runPass();
      if (version !== undefined) this.history.recordPass(lowest, version);
    }
  }

  /** All ranks run a pass together: one that is missing stops the group. */
  private allRanksReady(step: number): boolean {
    return this.ranks.every(
      ({engine}) => engine.up && (engine.running || engine.step > step)
    );
  }

  // Controllers and the log.

  private startController(index: number): void {
    const node = this.controller(index);
    node.boot++;
    node.machine = new MapSwitch({
      group: GROUP,
      ranks: this.ranks.length,
      holder: `c${index}.${node.boot}`,
      initialMap: EXPERT_MAP,
      marginPasses: 10,
      maxMarginPasses: 80,
      promiseTimeoutMs: 300,
      resendMs: 40,
      proposeRetryMs: 500,
    });
  }

  private controller(index: number): ControllerNode {
    const node = this.controllers[index];
    if (node === undefined) throw new Error(`no controller ${index}`);
    return node;
  }

  private deliverFromRank(to: string, message: FromRankMessage): void {
    if (message.kind === 'expertCounts' || message.kind === 'staged') return;
    this.controlEvent(Number(to), {kind: 'message', message});
  }

  private tickController(index: number): void {
    this.controlEvent(index, {kind: 'tick'});
    const {machine} = this.controller(index);
    this.maybeStage(index, machine?.fence);
    if (!machine?.idle || !this.random.chance(0.1)) return;
    const step = Math.max(...this.ranks.map(({engine}) => engine.step));
    // The controller's view of the pass count is up to 8 passes old.
    const knownStep = Math.max(0, step - this.random.int(0, 8));
    this.controlEvent(index, {kind: 'start', map: EXPERT_MAP, step: knownStep});
  }

  /** Orders to load weights are sent at any time, also during a switch. */
  private maybeStage(index: number, fence: number | undefined): void {
    if (fence === undefined || !this.stageRandom.chance(0.05)) return;
    const rank = this.stageRandom.int(0, this.ranks.length - 1);
    const order = {kind: 'stage', group: GROUP, slot: 0, expert: 0} as const;
    this.loads.send(`${index}`, `${rank}`, {...order, fence});
  }

  private controlEvent(index: number, event: SwitchEvent): void {
    const {machine, boot} = this.controller(index);
    const actions = machine?.handle(event, this.now) ?? [];
    for (const action of actions) this.controllerAction(index, boot, action);
  }

  private controllerAction(
    index: number,
    boot: number,
    action: SwitchAction
  ): void {
    switch (action.kind) {
      case 'send':
        this.sendToRank(`${index}`, action.rank, action.message);
        return;
      case 'ended':
        if (action.result.kind === 'switched') this.switchCount++;
        return;
      default:
        this.logNet.send(`${index}`, 'log', {boot, action});
    }
  }

  private sendToRank(from: string, rank: number, message: ToRankMessage): void {
    this.rankNet.send(from, `r${rank}`, {kind: 'toRank', message});
  }

  private serveLog(from: string, boot: number, action: SwitchAction): void {
    const reply = (event: SwitchEvent) =>
      this.logNet.send('log', from, {boot, event});
    switch (action.kind) {
      case 'propose':
        return reply(this.apply(action.command));
      case 'read': {
        const {seq} = action;
        return reply({kind: 'read', seq, maps: this.state.group(GROUP)});
      }
      case 'answerQuery': {
        const decision = this.state.outcome(action.id);
        if (decision === 'undecided') return;
        const message = {
          kind: 'decision',
          ...action.id,
          decision,
        } as const;
        return this.sendToRank(from, action.rank, message);
      }
      default:
        return;
    }
  }

  private apply(
    command: Extract<SwitchAction, {kind: 'propose'}>['command']
  ): SwitchEvent {
    if (command.kind === 'fence')
      return {kind: 'fence', ...this.state.applyFence(command)};
    const result = this.state.applyDecision(command).kind;
    this.history.recordDecided(this.state.group(GROUP).decidedVersion);
    return {kind: 'decided', version: command.version, result};
  }

  // Faults and checks.

  private injectFaults(): void {
    const rank = this.random.int(0, this.ranks.length - 1);
    const index = this.random.int(0, CONTROLLERS - 1);
    if (this.random.chance(0.004)) this.node(rank).agent = undefined;
    if (this.random.chance(0.004)) this.node(rank).engine.stop();
    if (this.random.chance(0.004)) this.controller(index).machine = undefined;
    if (this.random.chance(0.01)) this.controlEvent(index, {kind: 'lead'});
    if (this.random.chance(0.004)) this.controlEvent(index, {kind: 'resign'});
    if (this.random.chance(0.004)) this.rankNet.cut(`r${rank}`, `${index}`);
    if (this.random.chance(0.004)) this.rankNet.cut(`${index}`, `r${rank}`);
    if (this.random.chance(0.01)) this.rankNet.heal();
    if (this.random.chance(0.05)) this.restartStopped();
  }

  private restartStopped(): void {
    this.ranks.forEach((node, rank) => {
      if (!node.engine.up) node.engine.start();
      if (!node.agent) this.startAgent(rank);
    });
    this.controllers.forEach((node, index) => {
      if (!node.machine) this.startController(index);
    });
  }

  private endFaults(): void {
    this.faultyNet = this.rankNet;
    this.faultyLogNet = this.logNet;
    this.rankNet = new Network(this.random, RELIABLE);
    this.logNet = new Network(this.random, RELIABLE);
    this.restartStopped();
    this.controlEvent(1, {kind: 'resign'});
    this.controlEvent(0, {kind: 'lead'});
  }

  private checkProgress(steps: readonly number[], switches: number): void {
    this.ranks.forEach(({engine}, rank) => {
      if (engine.step <= (steps[rank] ?? 0) + 1)
        throw new Error(`rank ${rank} stays at pass ${engine.step}`);
    });
    if (this.switchCount === switches)
      throw new Error('no switch after faults');
  }
}

/** Checks map switches of a group of ranks. */
export const MAP_MODEL: FuzzModel = {
  name: 'expertMap',
  run(seed) {
    new MapSwitchSimulation(seed).run();
  },
};
