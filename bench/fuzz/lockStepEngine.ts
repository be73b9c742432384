/** Engine of one rank in the map model: counts passes and pauses for switches. */

import type {
  EngineView,
  RankAction,
  RankEvent,
} from '../../src/agent/maps/rankMapSwitchEvents';

/** Orders from the agent. */
export type EngineOrder = Exclude<RankAction, {kind: 'send'}>;

/** Replies to the agent. */
export type EngineAnswer = Extract<RankEvent, {kind: 'prepared' | 'started'}>;

interface PendingSwitch {
  readonly version: number;
  readonly switchStep: number;
  readonly committed: boolean;
}

/**
 * Keeps its pass count over a restart, as the other ranks of the group wait for
 * it at that pass.
 */
export class LockStepEngine {
  boot = 1;
  up = true;
  running = false;
  step = 0;
  private version = 0;
  private pendingSwitch?: PendingSwitch;
  private highestFence = 0;

  /** An engine without `fencing` accepts orders with any fencing token. */
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
    this.pendingSwitch = undefined;
    this.highestFence = 0;
  }

  view(): EngineView {
    const isUndecided =
      this.pendingSwitch !== undefined && !this.pendingSwitch.committed;
    return {
      bootId: `${this.boot}`,
      running: this.running,
      step: this.step,
      mapVersion: this.version,
      preparedVersion: isUndecided ? this.pendingSwitch?.version : undefined,
    };
  }

  apply(order: EngineOrder, loadFails: boolean): EngineAnswer | undefined {
    if (!this.up) return undefined;
    if (!this.advanceFence(order)) return this.rejectStale(order);
    switch (order.kind) {
      case 'startEngine':
        return this.startRunning(order);
      case 'prepareEngine':
        return this.prepare(order, loadFails);
      case 'decideEngine':
        return this.applyDecision(order);
      // Staged weights are not in use: only the fencing token matters here.
      case 'stageEngine':
        return undefined;
    }
  }

  /** Runs the next pass unless it must pause; returns its map version. */
  runPass(): number | undefined {
    if (!this.up || !this.running) return undefined;
    if (this.pendingSwitch && this.step >= this.pendingSwitch.switchStep) {
      if (!this.pendingSwitch.committed) return undefined;
      this.version = this.pendingSwitch.version;
      this.pendingSwitch = undefined;
    }
    this.step++;
    return this.version;
  }

  /** Records the fencing token of an order; false if a newer one is known. */
  private advanceFence(order: EngineOrder): boolean {
    if (!this.fencing) return true;
    const fence = fenceOf(order);
    if (fence < this.highestFence) return false;
    this.highestFence = fence;
    return true;
  }

  /** Of the stale orders only a prepare order gets a reply. */
  private rejectStale(order: EngineOrder): EngineAnswer | undefined {
    if (order.kind !== 'prepareEngine') return undefined;
    const {version} = order.order;
    const result = 'failed';
    return {kind: 'prepared', bootId: `${this.boot}`, version, result};
  }

  private startRunning(
    order: Extract<EngineOrder, {kind: 'startEngine'}>
  ): EngineAnswer {
    const {current, previous} = order;
    if (!this.running) {
      this.running = true;
      const isBeforeSwitch = this.step < current.switchStep;
      this.version =
        (isBeforeSwitch ? previous?.version : current.version) ?? 0;
      if (isBeforeSwitch) this.pendingSwitch = {...current, committed: true};
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
    this.pendingSwitch = {version, switchStep, committed: false};
    return {...answer, result: 'held'};
  }

  private applyDecision(
    order: Extract<EngineOrder, {kind: 'decideEngine'}>
  ): undefined {
    if (this.pendingSwitch?.version !== order.id.version) return;
    if (order.decision === 'abort' && !this.pendingSwitch.committed)
      this.pendingSwitch = undefined;
    else if (this.pendingSwitch)
      this.pendingSwitch = {...this.pendingSwitch, committed: true};
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
