/** The state of one agent and the view of it that its parts share. */

import {randomUUID} from 'node:crypto';
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
import type {ControlSync} from '../sync/controlSync';
import type {
  RankReport,
  TargetAdapter,
  TargetObservation,
} from '../target/targetAdapter';
import {admissionRefusal} from './admission';
import {Gate} from './gate';
import {OnceGuard} from './onceGuard';
import {PrefixMemory} from './prefixMemory';
import {TargetState} from './targetState';

/** What the agent is told about its target. */
export interface TargetSettings {
  readonly id: string;
  readonly pool: string;
  readonly kind: 'engine' | 'service';
  readonly host: string;
  readonly port: number;
  readonly probeIntervalMs: number;
  readonly drainMs: number;
}

/** Everything an agent is made of. */
export interface AgentParts {
  readonly target: TargetSettings;
  readonly availabilityZone: string;
  readonly host: string;
  readonly adapter: TargetAdapter;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

function memberOf(report: RankReport): GroupMember {
  const {id, rank, ranks, experts, slots} = report;
  return {id, rank, ranks, experts, slots};
}

/** In steps of a tenth, so that noise alone is no news for entries. */
function toldSlowdown(slowdown: number): number | undefined {
  const tenths = Math.round(slowdown * 10) / 10;
  return tenths > 1 ? tenths : undefined;
}

/** One agent. */
export class AgentCore {
  readonly gate: Gate;
  readonly state = new TargetState(performance.now());
  readonly prefixes = new PrefixMemory();
  readonly adapter: TargetAdapter;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Set once the internal port is known. */
  port = 0;
  private guard = new OnceGuard();
  private bootId = randomUUID();
  private bootAtMs = Date.now();
  private seq = 0;
  private leaving = false;
  private changing = false;
  private seen: TargetObservation | undefined;
  private sync: ControlSync | undefined;

  constructor(private readonly parts: AgentParts) {
    this.adapter = parts.adapter;
    this.logger = parts.logger;
    this.metrics = parts.metrics;
    this.gate = new Gate(
      {
        targetId: parts.target.id,
        rules: () => this.rules,
        limit: () => this.limit(),
        refusal: dispatch => this.refusal(dispatch),
      },
      parts.metrics
    );
  }

  get targetId(): string {
    return this.parts.target.id;
  }

  get target(): TargetSettings {
    return this.parts.target;
  }

  get agentBootId(): string {
    return this.bootId;
  }

  get once(): OnceGuard {
    return this.guard;
  }

  get rules(): RuleIndex | undefined {
    return this.sync?.rules?.index;
  }

  /** Called once, when the link to control exists. */
  attach(sync: ControlSync): void {
    this.sync = sync;
  }

  /** An entry showed a revision that may be newer than ours. */
  sawRevision(revision: number): void {
    this.sync?.sawRevision(revision);
  }

  warmup(): WarmupLimits {
    return this.rules?.warmup(this.parts.target.pool) ?? DEFAULT_WARMUP;
  }

  /**
   * Requests at once now. Without rules nothing may start; asked under the
   * default ramp meanwhile, the target would be held to its start, since the
   * rule that then comes looks like one that was changed mid-ramp.
   */
  private limit(): number {
    if (this.rules === undefined || this.changing) return 0;
    return this.state.limit(this.warmup(), performance.now());
  }

  /** From now on nothing new starts here; there is no way back for this boot. */
  leave(): void {
    this.leaving = true;
    this.gate.recheck();
  }

  /** Nothing new starts here until `endChange`; what waits goes elsewhere. */
  beginChange(): void {
    this.changing = true;
    this.gate.recheck();
  }

  /** `changed`: weights were loaded, so the target is cold however it looks. */
  endChange(changed: boolean): void {
    if (changed) this.state.strained(performance.now());
    this.changing = false;
    this.gate.pump();
  }

  observed(seen: TargetObservation): void {
    const before = this.seen;
    this.seen = seen;
    // Entries that chose this target for the model it held would get the other
    // one's answer; under a new boot id their dispatches are refused unrun.
    const same =
      seen.model === before?.model &&
      seen.modelVersion === before?.modelVersion;
    if (before !== undefined && !same) this.renewBoot();
  }

  /** The last look at the target that was answered. */
  get lastSeen(): TargetObservation | undefined {
    return this.seen;
  }

  /** See `OnceGuard.full`. */
  renewBootIfFull(): void {
    if (!this.guard.full) return;
    this.logger.info(
      {bootId: this.bootId},
      'claim record full; taking a new boot id'
    );
    this.renewBoot();
  }

  private renewBoot(): void {
    this.guard = new OnceGuard();
    this.bootId = randomUUID();
    this.bootAtMs = Date.now();
  }

  refusal(dispatch: Dispatch): Refusal | undefined {
    return admissionRefusal(
      {
        targetId: this.targetId,
        agentBootId: this.bootId,
        availabilityZone: this.parts.availabilityZone,
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
    const {target, availabilityZone, host} = this.parts;
    const {limit, outstanding, queued, temperature} = this.report(0);
    const load = this.seen?.load;
    const group = this.seen?.group;
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
      model: this.seen?.model,
      modelVersion: this.seen?.modelVersion,
      group: group === undefined ? undefined : memberOf(group),
      tokensInWork: load?.tokensInWork,
      slowdown: toldSlowdown(this.state.slowdown()),
      loadAgeMs: load?.loadAgeMs,
      prefixes: target.kind === 'engine' ? this.prefixes.newest() : undefined,
    };
  }
}
