/** Who holds and who truly serves each model of a pool. Pure. */

/** A model that rules want served. */
export interface ServedModel {
  readonly model: string;
  readonly version: string;
  readonly min: number;
  readonly max: number;
}

/** A target as last announced. */
export interface FleetTarget {
  readonly targetId: string;
  readonly availabilityZone: string;
  readonly model?: string;
  readonly modelVersion?: string;
  /** Whether it takes new work now: announced, in service, limit above 0. */
  readonly serving: boolean;
  readonly temperature: 'cold' | 'warming' | 'warm';
  /** Whether its last order is done, and since then it has held the model. */
  readonly changed: boolean;
  /** When its last order was done, if known. */
  readonly changedAtMs?: number;
  /** Requests in hand. */
  readonly work: number;
  /** Requests that it may run at once now. */
  readonly limit: number;
}

/** An order for a target: to hold this model in this version. */
export interface FleetChange {
  readonly targetId: string;
  readonly model: string;
  readonly version: string;
}

/** Counts that change with each order planned. */
export interface ModelTally {
  /** Targets that truly serve it, whatever the version. */
  serving: number;
  /** Those of them that hold the version of the rules. */
  proven: number;
  /** Targets under way to it, or still cold. */
  coming: number;
  /** Targets that hold it or are under way to it, by zone. */
  readonly zones: Map<string, number>;
}

/** Less demand than this need not reach every target. */
const IDLE_PER_TARGET = 0.25;
/** Less work than this part of its limit does not warm a target. */
const PUSHED_PART = 0.5;

/** A pool's targets by what they do. */
export class FleetTally {
  readonly free: readonly FleetTarget[];
  /** Targets under an order, or changed and not settled yet. */
  readonly unsettled: number;
  private readonly tallies = new Map<string, ModelTally>();
  private readonly idle: ReadonlySet<string>;
  private readonly versions: ReadonlyMap<string, string>;

  constructor(
    models: readonly ServedModel[],
    targets: readonly FleetTarget[],
    open: readonly FleetChange[],
    demand: ReadonlyMap<string, number>
  ) {
    this.versions = new Map(models.map(({model, version}) => [model, version]));
    this.idle = idleModels(models, targets, demand);
    const zoneOf = new Map(
      targets.map(target => [target.targetId, target.availabilityZone])
    );
    const changing = new Set<string>();
    for (const {targetId, model} of open) {
      changing.add(targetId);
      const zone = zoneOf.get(targetId);
      // Nobody knows what became of a silent target; it neither serves nor
      // keeps the others from being changed.
      if (zone !== undefined) this.add(model, zone, 'coming');
    }
    const free = targets.filter(target => !changing.has(target.targetId));
    this.free = free;
    for (const target of free) this.count(target);
    this.unsettled =
      open.filter(({targetId}) => zoneOf.has(targetId)).length +
      free.filter(target => this.isSettling(target)).length;
  }

  of(model: string): ModelTally {
    const known = this.tallies.get(model);
    if (known !== undefined) return known;
    const fresh = {serving: 0, proven: 0, coming: 0, zones: new Map()};
    this.tallies.set(model, fresh);
    return fresh;
  }

  /** A cold target has answered nothing yet, unless nobody asks it anything. */
  serves(target: FleetTarget): boolean {
    const {model = '', temperature} = target;
    if (!target.serving) return false;
    return temperature !== 'cold' || this.idle.has(model);
  }

  /** Whether it holds a version of its model that the rules replace. */
  isOutdated({model = '', modelVersion}: FleetTarget): boolean {
    const version = this.versions.get(model);
    return version !== undefined && version !== modelVersion;
  }

  isServed(model: string | undefined): boolean {
    return model !== undefined && this.versions.has(model);
  }

  /** The target is to be changed: it counts for the one, no more the other. */
  move(target: FleetTarget, to: string): void {
    const {availabilityZone: zone, model = ''} = target;
    const from = this.of(model);
    if (this.serves(target)) {
      from.serving--;
      if (!this.isOutdated(target)) from.proven--;
    }
    from.zones.set(zone, (from.zones.get(zone) ?? 0) - 1);
    this.add(to, zone, 'coming');
  }

  private count(target: FleetTarget): void {
    const {model, availabilityZone: zone} = target;
    if (model === undefined) return;
    if (!this.serves(target)) {
      const warms = target.serving || this.isSettling(target);
      if (warms) this.add(model, zone, 'coming');
      return;
    }
    this.add(model, zone, 'serving');
    if (!this.isOutdated(target)) this.of(model).proven++;
  }

  /**
   * One that answers and has little to do stays on its way to warm for good;
   * one that has enough to do and does not get there is in trouble.
   */
  private isSettling(target: FleetTarget): boolean {
    const {changed, temperature, model = '', work, limit} = target;
    if (!changed || this.idle.has(model)) return false;
    if (temperature === 'warming') return work >= limit * PUSHED_PART;
    return temperature === 'cold';
  }

  private add(model: string, zone: string, kind: 'serving' | 'coming'): void {
    const tally = this.of(model);
    tally[kind]++;
    tally.zones.set(zone, (tally.zones.get(zone) ?? 0) + 1);
  }
}

function idleModels(
  models: readonly ServedModel[],
  targets: readonly FleetTarget[],
  demand: ReadonlyMap<string, number>
): ReadonlySet<string> {
  const held = new Map<string, number>();
  for (const {model = ''} of targets)
    held.set(model, (held.get(model) ?? 0) + 1);
  const idle = models.filter(
    ({model}) =>
      (demand.get(model) ?? 0) < IDLE_PER_TARGET * (held.get(model) ?? 0)
  );
  return new Set(idle.map(({model}) => model));
}
