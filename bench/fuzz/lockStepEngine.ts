/** An engine of a rank as the map model sees it: a step counter and a barrier. */

import type {
  EngineView,
  RankAction,
  RankEvent,
} from '../../src/agent/maps/rankSwitch';

/** Orders from the agent. */
export type EngineOrder = Exclude<RankAction, {kind: 'send'}>;

/** Answers to the agent. */
export type EngineAnswer = Extract<RankEvent, {kind: 'prepared' | 'started'}>;

interface Held {
  readonly version: number;
  readonly switchStep: number;
  readonly committed: boolean;
}

/** Keeps its step over a restart: the group waits for it at that step. */
export class LockStepEngine {
  boot = 1;
  up = true;
  running = false;
  step = 0;
  private version = 0;
  private held?: Held;
  private highestFence = 0;

  /** An engine without `fencing` takes orders of any fence. */
  constructor(private readonly fencing: boolean) {}

  stop(): void {
    this.up = false;
    this.boot++;
  }

  start(): void {
    this.up = true;
    this.boot++;
    this.running = false;
    this.version = 0;
    this.held = undefined;
    this.highestFence = 0;
  }

  view(): EngineView {
    const waits = this.held !== undefined && !this.held.committed;
    return {
      bootId: `${this.boot}`,
      running: this.running,
      step: this.step,
      mapVersion: this.version,
      preparedVersion: waits ? this.held?.version : undefined,
    };
  }

  take(order: EngineOrder, loadFails: boolean): EngineAnswer | undefined {
    if (!this.up) return undefined;
    if (!this.accepts(order)) return this.refuse(order);
    switch (order.kind) {
      case 'startEngine':
        return this.begin(order);
      case 'prepareEngine':
        return this.prepare(order, loadFails);
      case 'decideEngine':
        return this.decide(order);
      // Weights beside those in use change nothing here but the fence.
      case 'stageEngine':
        return undefined;
    }
  }

  /** Runs the next step if it may, and returns the version it ran with. */
  runStep(): number | undefined {
    if (!this.up || !this.running) return undefined;
    if (this.held && this.step >= this.held.switchStep) {
      if (!this.held.committed) return undefined;
      this.version = this.held.version;
      this.held = undefined;
    }
    this.step++;
    return this.version;
  }

  private accepts(order: EngineOrder): boolean {
    if (!this.fencing) return true;
    const fence = fenceOf(order);
    if (fence < this.highestFence) return false;
    this.highestFence = fence;
    return true;
  }

  private refuse(order: EngineOrder): EngineAnswer | undefined {
    if (order.kind !== 'prepareEngine') return undefined;
    const {version} = order.order;
    const result = 'failed';
    return {kind: 'prepared', bootId: `${this.boot}`, version, result};
  }

  private begin(
    order: Extract<EngineOrder, {kind: 'startEngine'}>
  ): EngineAnswer {
    const {current, previous} = order;
    if (!this.running) {
      this.running = true;
      const ahead = this.step < current.switchStep;
      this.version = (ahead ? previous?.version : current.version) ?? 0;
      if (ahead) this.held = {...current, committed: true};
    }
    return {kind: 'started', bootId: `${this.boot}`};
  }

  private prepare(
    {order}: Extract<EngineOrder, {kind: 'prepareEngine'}>,
    loadFails: boolean
  ): EngineAnswer {
    const {version, switchStep} = order;
    const answer = {kind: 'prepared', bootId: `${this.boot}`, version} as const;
    if (!this.running || loadFails) return {...answer, result: 'failed'};
    if (this.step >= switchStep) return {...answer, result: 'passed'};
    this.held = {version, switchStep, committed: false};
    return {...answer, result: 'held'};
  }

  private decide(
    order: Extract<EngineOrder, {kind: 'decideEngine'}>
  ): undefined {
    if (this.held?.version !== order.id.version) return;
    if (order.decision === 'abort' && !this.held.committed)
      this.held = undefined;
    else if (this.held) this.held = {...this.held, committed: true};
  }
}

function fenceOf(order: EngineOrder): number {
  switch (order.kind) {
    case 'startEngine':
    case 'decideEngine':
      return order.fence;
    case 'prepareEngine':
    case 'stageEngine':
      return order.order.fence;
  }
}
