/**
 * Switches of expert maps under seeded schedules: ranks in lock-step, two rival
 * controllers, restarts of engines, agents and controllers at any point, late,
 * lost and repeated messages, engines that check fences and engines that do
 * not. Checked: every step is run with the same map by all ranks, decided
 * versions only grow, and after the faults the group goes on and can switch.
 */

import type {RankAction, RankEvent} from '../../src/agent/maps/rankSwitch';
import {RankSwitch} from '../../src/agent/maps/rankSwitch';
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
import type {EngineWire, LogWire, Wire} from './mapWires';
import {Network, SeededRandom} from './schedule';

const GROUP = 'g';
const CONTROLLERS = 2;
const QUIET_MS = 40;
const FAULTS_MS = 2500;
const CALM_MS = 5000;
const TICK_MS = 5;
const CALM = {drop: 0, duplicate: 0, maxDelayMs: 10};
/** Chance that a rank does not run its step in a turn though it may. */
const STALL = 0.2;
const LOAD_SEEDS = 1_000_000;
const MAP: ExpertMap = {slots: [[0]], shares: [[1]]};

interface RankNode {
  readonly engine: LockStepEngine;
  agent?: RankSwitch;
  agentBoot: number;
}

interface ControllerNode {
  machine?: MapSwitch;
  boot: number;
}

class MapWorld {
  private readonly random: SeededRandom;
  private net: Network<Wire>;
  private logNet: Network<LogWire>;
  /** Of the time with faults; what is under way there still arrives. */
  private oldNet?: Network<Wire>;
  private oldLogNet?: Network<LogWire>;
  private readonly link: Network<EngineWire>;
  /** Loads of weights, with chances of their own, so that seeds keep theirs. */
  private readonly loadRandom: SeededRandom;
  private readonly loads: Network<StageMessage>;
  private readonly state = new MapState();
  private readonly ranks: RankNode[];
  private readonly controllers: ControllerNode[];
  private readonly history = new MapHistory();
  private now = 0;
  switched = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    const drop = this.random.pick([0, 0.05, 0.2]);
    const duplicate = this.random.pick([0, 0.1]);
    const maxDelayMs = this.random.pick([10, 60, 300]);
    this.net = new Network(this.random, {drop, duplicate, maxDelayMs});
    this.logNet = new Network(this.random, {
      drop: drop / 2,
      duplicate: 0,
      maxDelayMs: this.random.pick([5, 50, 200]),
    });
    this.link = new Network(this.random, {
      drop: 0,
      duplicate: 0,
      maxDelayMs: this.random.pick([2, QUIET_MS / 4]),
    });
    this.loadRandom = new SeededRandom(seed + LOAD_SEEDS);
    this.loads = new Network(this.loadRandom, {...CALM, maxDelayMs: 300});
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
    this.toController(0, {kind: 'lead'});
    while (this.now < FAULTS_MS) this.turn(() => this.fault());
    this.endFaults();
    const steps = this.ranks.map(node => node.engine.step);
    const before = this.switched;
    while (this.now < FAULTS_MS + CALM_MS) this.turn(() => undefined);
    this.checkProgress(steps, before);
  }

  private turn(fault: () => void): void {
    this.now += TICK_MS;
    fault();
    this.deliver();
    this.ranks.forEach((_, rank) => this.tickRank(rank));
    this.runSteps();
    this.controllers.forEach((_, index) => this.tickController(index));
  }

  private deliver(): void {
    for (const {to, message} of this.arrived(this.net, this.oldNet)) {
      if (message.kind === 'toRank') this.toRank(to, message.message);
      else this.fromRank(to, message.message);
    }
    for (const {from, to, message} of this.arrived(
      this.logNet,
      this.oldLogNet
    )) {
      if (message.action) this.atLog(from, message.boot, message.action);
      const target = this.controllers[Number(to)];
      if (message.event && target?.boot === message.boot)
        this.toController(Number(to), message.event);
    }
    for (const {to, message} of this.link.advance(TICK_MS))
      this.atLink(Number(to), message);
    for (const {to, message} of this.loads.advance(TICK_MS))
      this.rankEvent(Number(to), {kind: 'message', message});
  }

  private arrived<M>(net: Network<M>, old?: Network<M>) {
    return [...(old?.advance(TICK_MS) ?? []), ...net.advance(TICK_MS)];
  }

  // Ranks.

  private startAgent(rank: number): void {
    const node = this.node(rank);
    node.agentBoot++;
    node.agent = new RankSwitch({
      group: GROUP,
      rank,
      agentBootId: `a${rank}.${node.agentBoot}`,
      bootAtMs: this.now,
      quietMs: QUIET_MS,
      retryMs: 30,
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

  private toRank(to: string, message: ToRankMessage): void {
    this.rankEvent(Number(to.slice(1)), {kind: 'message', message});
  }

  private rankEvent(rank: number, event: RankEvent): void {
    const actions = this.node(rank).agent?.handle(event, this.now) ?? [];
    actions.forEach(action => this.rankAction(rank, action));
  }

  private rankAction(rank: number, action: RankAction): void {
    switch (action.kind) {
      case 'send':
        return this.tellControllers(rank, action.message);
      // At once: what comes late has been late on its way to the agent.
      case 'stageEngine':
        return void this.node(rank).engine.take(action, false);
      default:
        return this.orderEngine(rank, action);
    }
  }

  private tellControllers(rank: number, told: FromRankMessage): void {
    if (told.kind === 'staged') return;
    const message: Wire = {kind: 'fromRank', message: told};
    // A rank does not know who leads; it tells every control instance.
    this.controllers.forEach((_, index) =>
      this.net.send(`r${rank}`, `${index}`, message)
    );
  }

  private orderEngine(rank: number, order: EngineOrder): void {
    const {agentBoot, engine} = this.node(rank);
    this.link.send('agent', `${rank}`, {
      agentBoot,
      engineBoot: engine.boot,
      order,
    });
  }

  private atLink(rank: number, message: EngineWire): void {
    const node = this.node(rank);
    // The connection ends with the engine's process, not with the agent's.
    if (message.engineBoot !== node.engine.boot) return;
    if (message.order) {
      const answer = node.engine.take(message.order, this.random.chance(0.05));
      if (answer)
        this.link.send('engine', `${rank}`, {
          ...message,
          order: undefined,
          answer,
        });
      return;
    }
    if (message.answer && message.agentBoot === node.agentBoot)
      this.rankEvent(rank, message.answer);
  }

  /** Every rank that may runs one step; nobody is more than a step ahead. */
  private runSteps(): void {
    const least = Math.min(...this.ranks.map(({engine}) => engine.step));
    for (const {engine} of this.ranks) {
      if (engine.step !== least || !this.allFormed(least)) continue;
      if (this.random.chance(STALL)) continue;
      const version = engine.runStep();
      if (version !== undefined) this.history.ran(least, version);
    }
  }

  /** A step is run by all ranks together; one that is away stops all. */
  private allFormed(step: number): boolean {
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
      initialMap: MAP,
      marginSteps: 10,
      maxMarginSteps: 80,
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

  private fromRank(to: string, message: FromRankMessage): void {
    if (message.kind === 'expertCounts' || message.kind === 'staged') return;
    this.toController(Number(to), {kind: 'message', message});
  }

  private tickController(index: number): void {
    this.toController(index, {kind: 'tick'});
    const {machine} = this.controller(index);
    this.stageSometimes(index, machine?.fence);
    if (!machine?.idle || !this.random.chance(0.1)) return;
    const step = Math.max(...this.ranks.map(({engine}) => engine.step));
    // What the controller knows of the steps lags behind.
    const known = Math.max(0, step - this.random.int(0, 8));
    this.toController(index, {kind: 'start', map: MAP, step: known});
  }

  /** Loads of weights go on beside any switch. */
  private stageSometimes(index: number, fence: number | undefined): void {
    if (fence === undefined || !this.loadRandom.chance(0.05)) return;
    const rank = this.loadRandom.int(0, this.ranks.length - 1);
    const order = {kind: 'stage', group: GROUP, slot: 0, expert: 0} as const;
    this.loads.send(`${index}`, `${rank}`, {...order, fence});
  }

  private toController(index: number, event: SwitchEvent): void {
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
        if (action.result.kind === 'switched') this.switched++;
        return;
      default:
        this.logNet.send(`${index}`, 'log', {boot, action});
    }
  }

  private sendToRank(from: string, rank: number, message: ToRankMessage): void {
    this.net.send(from, `r${rank}`, {kind: 'toRank', message});
  }

  private atLog(from: string, boot: number, action: SwitchAction): void {
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
    this.history.decided(this.state.group(GROUP).decidedVersion);
    return {kind: 'decided', version: command.version, result};
  }

  // Faults and checks.

  private fault(): void {
    const rank = this.random.int(0, this.ranks.length - 1);
    const index = this.random.int(0, CONTROLLERS - 1);
    if (this.random.chance(0.004)) this.node(rank).agent = undefined;
    if (this.random.chance(0.004)) this.node(rank).engine.stop();
    if (this.random.chance(0.004)) this.controller(index).machine = undefined;
    if (this.random.chance(0.01)) this.toController(index, {kind: 'lead'});
    if (this.random.chance(0.004)) this.toController(index, {kind: 'resign'});
    if (this.random.chance(0.004)) this.net.cut(`r${rank}`, `${index}`);
    if (this.random.chance(0.004)) this.net.cut(`${index}`, `r${rank}`);
    if (this.random.chance(0.01)) this.net.heal();
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
    this.oldNet = this.net;
    this.oldLogNet = this.logNet;
    this.net = new Network(this.random, CALM);
    this.logNet = new Network(this.random, CALM);
    this.restartStopped();
    this.toController(1, {kind: 'resign'});
    this.toController(0, {kind: 'lead'});
  }

  private checkProgress(steps: readonly number[], switched: number): void {
    this.ranks.forEach(({engine}, rank) => {
      if (engine.step <= (steps[rank] ?? 0) + 1)
        throw new Error(`rank ${rank} stands at step ${engine.step}`);
    });
    if (this.switched === switched) throw new Error('no switch after faults');
  }
}

/** The model for the fuzz command. */
export const MAP_MODEL: FuzzModel = {
  name: 'expertMap',
  run(seed) {
    new MapWorld(seed).run();
  },
};
