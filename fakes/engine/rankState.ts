/** One rank's steps and expert map. */

import {unreachable} from '../../src/core/errors';

/** A prepared map and, once known, its decision. */
interface PreparedMap {
  readonly version: number;
  readonly switchStep: number;
  readonly slots: readonly (readonly number[])[];
  readonly decision?: 'commit';
}

/** From which step a map was in use. */
export interface MapSpan {
  readonly fromStep: number;
  readonly mapVersion: number;
}

/** Why an order about maps could not be done, or undefined. */
type Fault = string | undefined;

/** Never starts the switch step without knowing the decision. */
export class RankState {
  step = 0;
  mapVersion = 0;
  prepared: PreparedMap | undefined;
  slots: readonly (readonly number[])[] = [];
  readonly history: MapSpan[] = [{fromStep: 1, mapVersion: 0}];
  /** After a restart it holds no map until one is committed again. */
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

  /** Runs one step; the caller has checked that it does not hold. */
  advance(): void {
    const next = this.step + 1;
    if (this.prepared !== undefined && next >= this.prepared.switchStep)
      this.settle(this.prepared, next);
    this.step = next;
  }

  prepare(
    version: number,
    switchStep: number,
    slots: readonly (readonly number[])[]
  ): Fault {
    if (this.prepared !== undefined && this.prepared.version !== version)
      return `map ${this.prepared.version} is still undecided`;
    if (this.prepared !== undefined) return undefined;
    if (version === this.mapVersion && !this.joining) return undefined;
    if (switchStep <= this.step && !this.joining)
      return `step ${switchStep} has passed; the rank is at ${this.step}`;
    this.prepared = {version, switchStep, slots};
    return undefined;
  }

  decide(version: number, decision: 'commit' | 'abort'): Fault {
    if (this.prepared?.version === version) {
      if (this.prepared.decision === 'commit' && decision === 'abort')
        return `map ${version} was committed`;
      this.take(this.prepared, decision);
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

  private take(prepared: PreparedMap, decision: 'commit' | 'abort'): void {
    if (decision === 'abort') {
      this.prepared = undefined;
      return;
    }
    this.prepared = {...prepared, decision};
    if (!this.joining) return;
    // The others stand at the switch step; this rank joins them there.
    this.joining = false;
    this.step = Math.max(this.step, prepared.switchStep - 1);
    // In use from its next step on, so that a later one can be prepared.
    this.settle(prepared, this.step + 1);
  }

  private settle(prepared: PreparedMap, fromStep: number): void {
    this.prepared = undefined;
    this.mapVersion = prepared.version;
    this.slots = prepared.slots;
    this.history.push({fromStep, mapVersion: prepared.version});
  }
}
