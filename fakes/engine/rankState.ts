/** Step counter and expert map of one rank. */

import {unreachable} from '../../src/core/errors';

/** A prepared map; `decision` is set once it is committed. */
interface PreparedMap {
  readonly version: number;
  readonly switchStep: number;
  readonly slots: readonly (readonly number[])[];
  readonly decision?: 'commit';
}

/** The first step that used a map version. */
export interface MapSpan {
  readonly fromStep: number;
  readonly mapVersion: number;
}

/** Why a map order failed, or undefined if it succeeded. */
type FailureReason = string | undefined;

/** Holds before the switch step of a prepared map until the decision is known. */
export class RankState {
  step = 0;
  mapVersion = 0;
  prepared: PreparedMap | undefined;
  slots: readonly (readonly number[])[] = [];
  readonly history: MapSpan[] = [{fromStep: 1, mapVersion: 0}];
  /** After a restart the rank has no map, and runs no step until one is committed. */
  joining = false;

  /** Whether the next step may not start. */
  get holding(): boolean {
    if (this.joining) return true;
    const next = this.step + 1;
    return (
      this.prepared !== undefined &&
      next >= this.prepared.switchStep &&
      this.prepared.decision === undefined
    );
  }

  /** Runs one step. The caller must have checked `holding`. */
  advance(): void {
    const next = this.step + 1;
    if (this.prepared !== undefined && next >= this.prepared.switchStep)
      this.activate(this.prepared, next);
    this.step = next;
  }

  prepare(
    version: number,
    switchStep: number,
    slots: readonly (readonly number[])[]
  ): FailureReason {
    if (this.prepared !== undefined && this.prepared.version !== version)
      return `map ${this.prepared.version} is still undecided`;
    if (this.prepared !== undefined) return undefined;
    if (version === this.mapVersion && !this.joining) return undefined;
    if (switchStep <= this.step && !this.joining)
      return `step ${switchStep} has passed; the rank is at ${this.step}`;
    this.prepared = {version, switchStep, slots};
    return undefined;
  }

  decide(version: number, decision: 'commit' | 'abort'): FailureReason {
    if (this.prepared?.version === version) {
      if (this.prepared.decision === 'commit' && decision === 'abort')
        return `map ${version} was committed`;
      this.applyDecision(this.prepared, decision);
      return undefined;
    }
    switch (decision) {
      case 'commit':
        return this.mapVersion === version
          ? undefined
          : `map ${version} was never prepared`;
      case 'abort':
        return undefined;
      default:
        return unreachable(decision);
    }
  }

  private applyDecision(
    prepared: PreparedMap,
    decision: 'commit' | 'abort'
  ): void {
    if (decision === 'abort') {
      this.prepared = undefined;
      return;
    }
    this.prepared = {...prepared, decision};
    if (!this.joining) return;
    // The other ranks hold before the switch step; this rank joins them there.
    this.joining = false;
    this.step = Math.max(this.step, prepared.switchStep - 1);
    // Activate now rather than at the next step, so that a later map can be prepared.
    this.activate(prepared, this.step + 1);
  }

  private activate(prepared: PreparedMap, fromStep: number): void {
    this.prepared = undefined;
    this.mapVersion = prepared.version;
    this.slots = prepared.slots;
    this.history.push({fromStep, mapVersion: prepared.version});
  }
}
