/**
 * Which targets of a pool are to change their model or its version now. Pure.
 * An order takes a target out for the time of a load, so every order must pay
 * for itself, and none may leave a model with fewer serving targets than the
 * rules say: what is to be replaced goes on until its replacement serves.
 */

import {FleetTally} from './fleetTally';
import type {FleetChange, FleetTarget, ServedModel} from './fleetTally';

/** Limits of the decision, times in milliseconds. */
export interface FleetConfig {
  /** Part of the pool that may be changing at once; one target always may. */
  readonly changingPart: number;
  /** Loads at once that the weight store bears. */
  readonly loadsAtOnce: number;
  /** A model is short above this use of what its targets bear. */
  readonly shortUse: number;
  /** A target is given away only if the rest then stays below this use. */
  readonly spareUse: number;
  /** In a roll-out the rest must stay below this use while a target loads. */
  readonly rolloutUse: number;
  /** A target that has changed for another model stays for so long. */
  readonly dwellMs: number;
  /** Time over which an order has to pay. */
  readonly horizonMs: number;
  /** What a request that could be served is worth against an idle place. */
  readonly payFactor: number;
}

/** What the planner does when nothing else is set; see docs/DESIGN-fleet.md. */
export const FLEET_DEFAULTS: FleetConfig = {
  changingPart: 0.1,
  loadsAtOnce: 16,
  shortUse: 0.85,
  spareUse: 0.8,
  rolloutUse: 0.9,
  dwellMs: 600_000,
  horizonMs: 1_800_000,
  payFactor: 0.25,
};

/** All that the decision rests on. */
export interface FleetView {
  readonly models: readonly ServedModel[];
  readonly targets: readonly FleetTarget[];
  /** Orders that are not known to have ended. */
  readonly open: readonly FleetChange[];
  /** Requests at once by model, smoothed. */
  readonly demand: ReadonlyMap<string, number>;
  /** Models whose version has failed to load too often. */
  readonly halted: ReadonlySet<string>;
  /** Requests at once that a warm target bears. */
  readonly full: number;
  /** Usual time from an order to the end of the load. */
  readonly loadMs: number;
  /** Usual time from the load to a warm target. */
  readonly warmupMs: number;
  readonly nowMs: number;
}

/** A model that should have more targets, or newer ones, and gets none now. */
export interface Blocked {
  readonly model: string;
  readonly reason: 'halted' | 'no spare target' | 'does not pay' | 'min';
}

/** Orders to give now, and what has to wait although it is wanted. */
export interface FleetPlan {
  readonly changes: readonly FleetChange[];
  readonly blocked: readonly Blocked[];
}

/** Plans one round; orders already out are not taken back. */
export function planFleet(view: FleetView, cfg: FleetConfig): FleetPlan {
  return new Planner(view, cfg).plan();
}

interface Want {
  readonly served: ServedModel;
  readonly belowMin: boolean;
  /** Demand beyond what the model's targets bear, in requests at once. */
  readonly unserved: number;
}

class Planner {
  private readonly tally: FleetTally;
  private readonly changes: FleetChange[] = [];
  private readonly blocked: Blocked[] = [];
  private readonly taken = new Set<string>();
  private budget: number;

  constructor(
    private readonly view: FleetView,
    private readonly cfg: FleetConfig
  ) {
    const {models, targets, open, demand} = view;
    this.tally = new FleetTally(models, targets, open, demand);
    const part = Math.max(1, Math.floor(cfg.changingPart * targets.length));
    this.budget = Math.min(part, cfg.loadsAtOnce) - this.tally.unsettled;
  }

  plan(): FleetPlan {
    // The neediest is asked for anew after each order, since each changes it.
    const given = new Set<string>();
    while (this.budget > 0) {
      const want = this.neediest(given);
      if (want === undefined) break;
      if (!this.give(want)) given.add(want.served.model);
    }
    for (const served of this.view.models) this.rollOut(served);
    return {changes: this.changes, blocked: this.blocked};
  }

  private neediest(given: ReadonlySet<string>): Want | undefined {
    const wants = this.view.models
      .filter(({model}) => !given.has(model))
      .map(served => this.wantOf(served))
      .filter(want => want.belowMin || want.unserved > 0);
    return wants.sort(byNeed)[0];
  }

  private wantOf(served: ServedModel): Want {
    const {serving, coming} = this.tally.of(served.model);
    const held = serving + coming;
    const bears = held * this.view.full * this.cfg.shortUse;
    const over = this.demandOf(served.model) - bears;
    const unserved = held < served.max ? Math.max(0, over) : 0;
    return {served, belowMin: held < served.min, unserved};
  }

  private give(want: Want): boolean {
    const {model} = want.served;
    if (!this.mayLoad(want.served)) return false;
    if (!want.belowMin && !this.pays(want.unserved))
      return this.block(model, 'does not pay');
    const donor = this.donorFor(want);
    if (donor === undefined) return this.block(model, 'no spare target');
    this.order(donor, want.served);
    return true;
  }

  /** A version that nobody serves yet is tried on one target first. */
  private mayLoad({model}: ServedModel): boolean {
    if (this.view.halted.has(model)) return this.block(model, 'halted');
    const {proven, coming} = this.tally.of(model);
    return proven > 0 || coming === 0;
  }

  private block(model: string, reason: Blocked['reason']): false {
    this.blocked.push({model, reason});
    return false;
  }

  private pays(unserved: number): boolean {
    const {full, loadMs, warmupMs} = this.view;
    const {horizonMs, payFactor} = this.cfg;
    const lostMs = loadMs + warmupMs / 2;
    const gain = Math.min(unserved, full) * (horizonMs - lostMs);
    return gain > full * lostMs * payFactor;
  }

  private donorFor({served, belowMin}: Want): FleetTarget | undefined {
    const {zones} = this.tally.of(served.model);
    const crowd = (target: FleetTarget) =>
      zones.get(target.availabilityZone) ?? 0;
    const own = (target: FleetTarget) =>
      this.tally.of(target.model ?? '').zones.get(target.availabilityZone) ?? 0;
    const spare = this.tally.free.filter(
      target => target.model !== served.model && this.maySpare(target, belowMin)
    );
    return least(spare, (a, b) => {
      const unservedFirst =
        Number(this.tally.isServed(a.model)) -
        Number(this.tally.isServed(b.model));
      return (
        crowd(a) - crowd(b) ||
        unservedFirst ||
        own(b) - own(a) ||
        a.work - b.work ||
        (a.targetId < b.targetId ? -1 : 1)
      );
    });
  }

  private maySpare(target: FleetTarget, urgent: boolean): boolean {
    if (this.taken.has(target.targetId) || !target.serving) return false;
    const {model, changedAtMs = -Infinity} = target;
    if (model === undefined || !this.tally.isServed(model)) return true;
    const dwelt = this.view.nowMs - changedAtMs >= this.cfg.dwellMs;
    if (!dwelt && !urgent) return false;
    return this.staysServed(target, this.cfg.spareUse);
  }

  /** Whether the model's other targets are enough, by rule and by use. */
  private staysServed(target: FleetTarget, use: number): boolean {
    const model = target.model ?? '';
    const min = this.view.models.find(one => one.model === model)?.min ?? 0;
    // One that does not serve takes nothing away.
    const left =
      this.tally.of(model).serving - (this.tally.serves(target) ? 1 : 0);
    if (left < min) return false;
    return this.demandOf(model) <= left * this.view.full * use;
  }

  private rollOut(served: ServedModel): void {
    const {model} = served;
    const old = this.tally.free.filter(
      target =>
        target.model === model &&
        target.serving &&
        this.tally.isOutdated(target) &&
        !this.taken.has(target.targetId)
    );
    if (old.length === 0) return;
    for (const target of old) {
      if (this.budget <= 0 || !this.mayLoad(served)) return;
      if (!this.staysServed(target, this.cfg.rolloutUse)) {
        this.block(model, 'min');
        return;
      }
      this.order(target, served);
    }
  }

  private order(target: FleetTarget, {model, version}: ServedModel): void {
    this.tally.move(target, model);
    this.taken.add(target.targetId);
    this.changes.push({targetId: target.targetId, model, version});
    this.budget--;
  }

  private demandOf(model: string): number {
    return this.view.demand.get(model) ?? 0;
  }
}

function byNeed(a: Want, b: Want): number {
  const belowMin = Number(b.belowMin) - Number(a.belowMin);
  return belowMin || b.unserved - a.unserved;
}

function least<T>(
  items: readonly T[],
  compare: (a: T, b: T) => number
): T | undefined {
  return items.reduce<T | undefined>(
    (best, item) =>
      best === undefined || compare(item, best) < 0 ? item : best,
    undefined
  );
}
