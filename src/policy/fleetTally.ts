/** Counts the targets of a pool by the model that they hold or serve. Pure. */

/** A model that the rules require the pool to serve. */
export interface ServedModel {
  readonly model: string;
  readonly version: string;
  readonly min: number;
  readonly max: number;
}

/** A target by its last announcement. */
export interface FleetTarget {
  readonly targetId: string;
  readonly availabilityZone: string;
  readonly model?: string;
  readonly modelVersion?: string;
  /** Whether it accepts new requests now: announced, in service, limit above 0. */
  readonly serving: boolean;
  readonly temperature: 'cold' | 'warming' | 'warm';
  /** Whether it completed its last order and still holds that model. */
  readonly changed: boolean;
  /** When its last order ended, if known. */
  readonly changedAtMs?: number;
  /** Requests running and queued. */
  readonly work: number;
  /** Its current concurrency limit. */
  readonly limit: number;
}

/** An order for a target to load this version of a model. */
export interface ModelAssignment {
  readonly targetId: string;
  readonly model: string;
  readonly version: string;
}

/** Targets of one model; updated with each planned order. */
export interface ModelTally {
  /** Targets that serve it, in any version. */
  serving: number;
  /** Serving targets that hold the version of the rules. */
  proven: number;
  /** Targets that are ordered to load it, or hold it but do not serve yet. */
  pending: number;
  /** Targets counted above, by zone. */
  readonly zones: Map<string, number>;
}

/** With less demand per target, some targets may get no request at all. */
const IDLE_REQUESTS_PER_TARGET = 0.25;
/** Minimum requests, as a ratio of its limit, that warm a target up. */
const MIN_WARMUP_UTILIZATION = 0.5;

/** Counts of a pool's targets by model. */
export class FleetTally {
  /** Targets without an order in progress. */
  readonly free: readonly FleetTarget[];
  /** Targets with an order in progress, or still warming up after one. */
  readonly unsettledCount: number;
  private readonly tallies = new Map<string, ModelTally>();
  private readonly idle: ReadonlySet<string>;
  private readonly versions: ReadonlyMap<string, string>;

  constructor(
    models: readonly ServedModel[],
    targets: readonly FleetTarget[],
    openOrders: readonly ModelAssignment[],
    demand: ReadonlyMap<string, number>
  ) {
    this.versions = new Map(models.map(({model, version}) => [model, version]));
    this.idle = idleModels(models, targets, demand);
    const zoneOf = new Map(
      targets.map(target => [target.targetId, target.availabilityZone])
    );
    const changing = new Set<string>();
    for (const {targetId, model} of openOrders) {
      changing.add(targetId);
      const zone = zoneOf.get(targetId);
      // The state of an order to a silent target is unknown. It counts neither
      // as serving nor towards the limit of targets that change at once.
      if (zone !== undefined) this.add(model, zone, 'pending');
    }
    const free = targets.filter(target => !changing.has(target.targetId));
    this.free = free;
    for (const target of free) this.count(target);
    this.unsettledCount =
      openOrders.filter(({targetId}) => zoneOf.has(targetId)).length +
      free.filter(target => this.isSettling(target)).length;
  }

  countsOf(model: string): ModelTally {
    const existing = this.tallies.get(model);
    if (existing !== undefined) return existing;
    const created = {serving: 0, proven: 0, pending: 0, zones: new Map()};
    this.tallies.set(model, created);
    return created;
  }

  /**
   * Whether it serves its model. A cold target has not completed a request yet,
   * which counts as failing to serve unless its model gets too few requests.
   */
  serves(target: FleetTarget): boolean {
    const {model = '', temperature} = target;
    if (!target.serving) return false;
    return temperature !== 'cold' || this.idle.has(model);
  }

  /** Whether it holds another version of its model than the rules require. */
  isOutdated({model = '', modelVersion}: FleetTarget): boolean {
    const version = this.versions.get(model);
    return version !== undefined && version !== modelVersion;
  }

  /** Whether the rules require the model to be served. */
  hasRule(model: string | undefined): boolean {
    return model !== undefined && this.versions.has(model);
  }

  /** Counts the target for the model it is ordered to load, not its current one. */
  reassign(target: FleetTarget, to: string): void {
    const {availabilityZone: zone, model = ''} = target;
    const from = this.countsOf(model);
    if (this.serves(target)) {
      from.serving--;
      if (!this.isOutdated(target)) from.proven--;
    }
    from.zones.set(zone, (from.zones.get(zone) ?? 0) - 1);
    this.add(to, zone, 'pending');
  }

  private count(target: FleetTarget): void {
    const {model, availabilityZone: zone} = target;
    if (model === undefined) return;
    if (!this.serves(target)) {
      const isWarming = target.serving || this.isSettling(target);
      if (isWarming) this.add(model, zone, 'pending');
      return;
    }
    this.add(model, zone, 'serving');
    if (!this.isOutdated(target)) this.countsOf(model).proven++;
  }

  /**
   * Whether a changed target is not proven yet. A warming target with little work
   * never becomes warm, so it counts as settled; one that has enough work and
   * stays short of warm may be faulty.
   */
  private isSettling(target: FleetTarget): boolean {
    const {changed, temperature, model = '', work, limit} = target;
    if (!changed || this.idle.has(model)) return false;
    if (temperature === 'warming')
      return work >= limit * MIN_WARMUP_UTILIZATION;
    return temperature === 'cold';
  }

  private add(model: string, zone: string, kind: 'serving' | 'pending'): void {
    const tally = this.countsOf(model);
    tally[kind]++;
    tally.zones.set(zone, (tally.zones.get(zone) ?? 0) + 1);
  }
}

function idleModels(
  models: readonly ServedModel[],
  targets: readonly FleetTarget[],
  demand: ReadonlyMap<string, number>
): ReadonlySet<string> {
  const targetCounts = new Map<string, number>();
  for (const {model = ''} of targets)
    targetCounts.set(model, (targetCounts.get(model) ?? 0) + 1);
  const idle = models.filter(
    ({model}) =>
      (demand.get(model) ?? 0) <
      IDLE_REQUESTS_PER_TARGET * (targetCounts.get(model) ?? 0)
  );
  return new Set(idle.map(({model}) => model));
}
