/** State of one agent, shared by its components. */

import {randomUUID} from 'node:crypto';
import {NEVER, Observable} from 'rxjs';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import type {Refusal} from '../core/refusal';
import type {
  Announcement,
  Dispatch,
  DispatchReport,
  GroupMember,
} from '../core/wire';
import type {WarmupLimits} from '../policy/ramp';
import {DEFAULT_WARMUP} from '../rules/ruleDefaults';
import type {RuleIndex} from '../rules/ruleIndex';
import type {ActiveRules, ControlSync} from '../sync/controlSync';
import type {
  RankReport,
  TargetAdapter,
  TargetObservation,
} from '../target/targetAdapter';
import {admissionRefusal} from './admission';
import {Gate} from './gate';
import {ClaimRegistry} from './claimRegistry';
import {PrefixMemory} from './prefixMemory';
import {TargetState} from './targetState';

/** Settings of the agent for its target. */
export interface TargetSettings {
  readonly id: string;
  readonly pool: string;
  readonly kind: 'engine' | 'service';
  readonly host: string;
  readonly port: number;
  readonly probeIntervalMs: number;
  readonly drainMs: number;
}

/** Settings and dependencies of an agent. */
export interface AgentDependencies {
  readonly target: TargetSettings;
  readonly availabilityZone: string;
  readonly host: string;
  readonly adapter: TargetAdapter;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

function toGroupMember(report: RankReport): GroupMember {
  const {id, rank, ranks, experts, slots} = report;
  return {id, rank, ranks, experts, slots};
}

/** Rounds to tenths, so that noise does not change the announcement. */
function announcedSlowdown(slowdown: number): number | undefined {
  const tenths = Math.round(slowdown * 10) / 10;
  return tenths > 1 ? tenths : undefined;
}

/** The agent of one target: admission, target state, and what it announces. */
export class AgentCore {
  readonly gate: Gate;
  readonly state = new TargetState(performance.now());
  readonly prefixes = new PrefixMemory();
  readonly adapter: TargetAdapter;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Internal port; set after the server has started to listen. */
  port = 0;
  private registry = new ClaimRegistry();
  private bootId = randomUUID();
  private bootAtMs = Date.now();
  private seq = 0;
  private leaving = false;
  private changing = false;
  private observation: TargetObservation | undefined;
  private sync: ControlSync | undefined;

  constructor(private readonly dependencies: AgentDependencies) {
    this.adapter = dependencies.adapter;
    this.logger = dependencies.logger;
    this.metrics = dependencies.metrics;
    this.gate = new Gate(
      {
        targetId: dependencies.target.id,
        rules: () => this.rules,
        limit: () => this.limit(),
        refusal: dispatch => this.refusal(dispatch),
      },
      dependencies.metrics
    );
  }

  get targetId(): string {
    return this.dependencies.target.id;
  }

  get target(): TargetSettings {
    return this.dependencies.target;
  }

  get agentBootId(): string {
    return this.bootId;
  }

  get claimRegistry(): ClaimRegistry {
    return this.registry;
  }

  get rules(): RuleIndex | undefined {
    return this.sync?.rules?.index;
  }

  /** Emits the applied rules, first those that are applied now. */
  get rules$(): Observable<ActiveRules | undefined> {
    return this.sync?.rules$ ?? NEVER;
  }

  /** Sets the source of rules and freshness; called once. */
  attach(sync: ControlSync): void {
    this.sync = sync;
  }

  /** Reports a rule revision that an entry has; it may be newer than ours. */
  observeRevision(revision: number): void {
    this.sync?.observeRevision(revision);
  }

  warmup(): WarmupLimits {
    return this.rules?.warmup(this.dependencies.target.pool) ?? DEFAULT_WARMUP;
  }

  /**
   * Current concurrency limit. Without rules it is 0, and the ramp is not
   * queried with the default warmup: the first rule would then look like a
   * change in the middle of the ramp, and hold the target at the default start.
   */
  private limit(): number {
    if (this.rules === undefined || this.changing) return 0;
    return this.state.limit(this.warmup(), performance.now());
  }

  /** Refuses new and queued requests until the process ends. */
  leave(): void {
    this.leaving = true;
    this.gate.recheckQueued();
  }

  /** Refuses new and queued requests until `endModelChange`. */
  beginModelChange(): void {
    this.changing = true;
    this.gate.recheckQueued();
  }

  /**
   * `wasLoaded`: weights were loaded, so the target is cold whatever it
   * reports.
   */
  endModelChange(wasLoaded: boolean): void {
    if (wasLoaded) this.state.restartRamp(performance.now());
    this.changing = false;
    this.gate.admitQueued();
  }

  recordObservation(observation: TargetObservation): void {
    const previous = this.observation;
    this.observation = observation;
    // Dispatches in transit were sent for the previous model. With a
    // new boot id they are refused before they run; otherwise another model
    // would answer them.
    const isSameModel =
      observation.model === previous?.model &&
      observation.modelVersion === previous?.modelVersion;
    if (previous !== undefined && !isSameModel) this.renewBoot();
  }

  /** The last successful observation of the target. */
  get lastObservation(): TargetObservation | undefined {
    return this.observation;
  }

  /** Starts a new claim registry, under a new boot id, if this one is full. */
  renewBootIfFull(): void {
    if (!this.registry.isFull) return;
    this.logger.info(
      {bootId: this.bootId},
      'claim record is full; renewing the boot id'
    );
    this.renewBoot();
  }

  private renewBoot(): void {
    this.registry = new ClaimRegistry();
    this.bootId = randomUUID();
    this.bootAtMs = Date.now();
  }

  refusal(dispatch: Dispatch): Refusal | undefined {
    return admissionRefusal(
      {
        targetId: this.targetId,
        agentBootId: this.bootId,
        availabilityZone: this.dependencies.availabilityZone,
        leaving: this.leaving,
        changing: this.changing,
        rules: this.rules,
        freshness: this.sync?.freshness() ?? {
          kind: 'unproven',
          ageMs: undefined,
        },
        targetReady: this.state.ready,
      },
      dispatch
    );
  }

  report(queuedMs: number): DispatchReport {
    const warmup = this.warmup();
    return {
      targetId: this.targetId,
      agentBootId: this.bootId,
      revision: this.rules?.revision ?? 0,
      temperature: this.state.temperature(warmup),
      limit: this.limit(),
      outstanding: this.gate.outstanding,
      queued: this.gate.queued,
      queuedMs: Math.round(queuedMs),
    };
  }

  announcement(): Announcement {
    const {target, availabilityZone, host} = this.dependencies;
    const {limit, outstanding, queued, temperature} = this.report(0);
    const load = this.observation?.load;
    const group = this.observation?.group;
    return {
      targetId: target.id,
      pool: target.pool,
      availabilityZone,
      host,
      port: this.port,
      agentBootId: this.bootId,
      agentBootAtMs: this.bootAtMs,
      seq: ++this.seq,
      state: this.leaving ? 'leaving' : 'serving',
      temperature,
      limit,
      outstanding,
      queued,
      model: this.observation?.model,
      modelVersion: this.observation?.modelVersion,
      group: group === undefined ? undefined : toGroupMember(group),
      tokensInWork: load?.tokensInWork,
      slowdown: announcedSlowdown(this.state.slowdown()),
      loadAgeMs: load?.loadAgeMs,
      prefixes: target.kind === 'engine' ? this.prefixes.newest() : undefined,
    };
  }
}
