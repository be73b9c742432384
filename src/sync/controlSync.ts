/**
 * Keeps one process in step with control: polls every control instance,
 * announces the target, holds the newest rules and the proof that they are
 * current, and finds the leader for calls that need it.
 */

import {
  BehaviorSubject,
  Subscription,
  defer,
  exhaustMap,
  merge,
  timer,
} from 'rxjs';
import {PeerError} from '../core/errors';
import type {Logger} from '../core/logger';
import type {Metrics} from '../core/metrics';
import type {
  Announcement,
  CustomerUsage,
  PollAnswer,
  PollRequest,
  RuleDiff,
} from '../core/wire';
import {LocateAnswer, METHODS} from '../rpc/messages';
import {PeerClient} from '../rpc/peerClient';
import {parseRules} from '../rules/parseRules';
import {applyDiff} from '../rules/ruleDiff';
import {RuleIndex} from '../rules/ruleIndex';
import {AnnouncedTo} from './announced';
import {Freshness, FreshnessProof} from './freshness';
import {LeaderCalls} from './leaderCalls';
import {Located, locateTarget} from './locateTarget';
import {TargetDirectory} from './targetDirectory';
import {UsageReport, UsageTo} from './usageReports';

/** What the process tells of itself; evaluated at each poll. */
export interface SelfReport {
  readonly announcement?: Announcement;
  readonly usage?: readonly CustomerUsage[];
}

/** Settings of the loop. */
export interface ControlSyncOptions {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly bootId: string;
  readonly availabilityZone: string;
  /** Targets of each pool to follow; for entries. */
  readonly subset?: number;
  readonly instances: readonly PeerClient[];
  readonly pollMs: number;
  readonly proofMs: number;
  readonly report: () => SelfReport;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Rules as held here. */
export interface HeldRules {
  readonly revision: number;
  readonly index: RuleIndex;
}

/** The link of one process to control. */
export class ControlSync {
  readonly directory = new TargetDirectory();
  readonly leader: LeaderCalls;
  /** Undefined until the first rules are known. */
  readonly rules$ = new BehaviorSubject<HeldRules | undefined>(undefined);
  private readonly proof: FreshnessProof;
  private readonly announced: ReadonlyMap<string, AnnouncedTo>;
  private subscription: Subscription | undefined;
  private readonly used: ReadonlyMap<string, UsageTo>;
  private leaving = false;
  private wasProven = false;
  private takesDiff = true;

  constructor(private readonly options: ControlSyncOptions) {
    this.proof = new FreshnessProof(options.instances.length, options.proofMs);
    this.leader = new LeaderCalls(options.instances);
    this.announced = new Map(
      options.instances.map(({address}) => [address.id, new AnnouncedTo()])
    );
    this.used = new Map(
      options.instances.map(({address}) => [address.id, new UsageTo()])
    );
  }

  start(): void {
    const {instances, pollMs} = this.options;
    // Each instance has its own loop: one that is silent delays no other.
    const loops = instances.map((instance, i) =>
      timer((pollMs * i) / instances.length, pollMs).pipe(
        exhaustMap(() => defer(() => this.poll(instance)))
      )
    );
    this.subscription = merge(...loops).subscribe();
  }

  stop(): void {
    this.subscription?.unsubscribe();
  }

  get rules(): HeldRules | undefined {
    return this.rules$.value;
  }

  freshness(): Freshness {
    const freshness = this.proof.judge(performance.now());
    if (freshness.kind === 'unproven' && this.wasProven) {
      this.options.metrics.count('rules.unproven');
      this.options.logger.warn(
        {ageMs: freshness.ageMs},
        'the rules can no longer be proven current'
      );
    }
    this.wasProven = freshness.kind !== 'unproven';
    return freshness;
  }

  /** Another process showed that a revision exists. */
  sawRevision(revision: number): void {
    this.proof.sawRevision(revision);
  }

  /** Where a target is, also one that is not followed here. */
  async locate(targetId: string): Promise<Located> {
    const known = this.directory.list().find(one => one.targetId === targetId);
    if (known !== undefined) return {kind: 'found', announcement: known};
    const {instances, proofMs} = this.options;
    return locateTarget(
      instances.map(
        one => () => one.call<LocateAnswer>(METHODS.locate, {targetId}, proofMs)
      )
    );
  }

  /** Tells every control instance all at once, as when a process leaves. */
  async announceNow(): Promise<void> {
    this.leaving = true;
    for (const used of this.used.values()) used.soon();
    await Promise.all(
      this.options.instances.map(instance => this.poll(instance))
    );
  }

  private async poll(instance: PeerClient): Promise<void> {
    const askedAtMs = performance.now();
    const instanceId = instance.address.id;
    const {announcement, usage} = this.options.report();
    const announced = this.announced.get(instanceId);
    const told = announcement && announced?.next(announcement);
    const report = usage && this.dueUsage(instanceId, usage, askedAtMs);
    try {
      const answer = await instance.call<PollAnswer>(
        METHODS.poll,
        {
          ...this.question(instanceId),
          ...report?.part,
          ...told?.part,
        },
        this.options.proofMs
      );
      if (told !== undefined) announced?.answered(told, answer);
      if (report !== undefined)
        this.used.get(instanceId)?.answered(report, answer);
      this.apply(answer, askedAtMs);
    } catch (err) {
      if (!(err instanceof PeerError)) throw err;
      announced?.lost();
      this.failed(instanceId, askedAtMs, err);
    }
    this.directory.expire(performance.now());
  }

  /**
   * To the leader, which logs it; another that is elected is told everything
   * that it does not hold. The last words go to all: with this process and then
   * the leader gone, nobody could tell them again.
   */
  private dueUsage(
    instanceId: string,
    usage: readonly CustomerUsage[],
    nowMs: number
  ): UsageReport | undefined {
    const {known} = this.leader;
    const isAsked = known === undefined || known === instanceId;
    if (!isAsked && !this.leaving) return undefined;
    return this.used.get(instanceId)?.due(usage, nowMs);
  }

  private question(instanceId: string): PollRequest {
    const {processId, role, bootId, availabilityZone, subset} = this.options;
    const freshness = this.proof.judge(performance.now());
    return {
      processId,
      role,
      bootId,
      availabilityZone,
      heldRevision: this.proof.heldRevision,
      takesDiff: this.takesDiff,
      provenAgeMs:
        freshness.kind === 'proven' ? Math.round(freshness.ageMs) : undefined,
      membership:
        role === 'entry' ? this.directory.heldFrom(instanceId) : undefined,
      subset,
    };
  }

  private apply(answer: PollAnswer, askedAtMs: number): void {
    if (answer.rulesDiff !== undefined) this.applyRulesDiff(answer.rulesDiff);
    if (answer.rules !== undefined) this.applyRules(answer.rules);
    const {voter, voterCount, lastRevision, instanceId} = answer;
    this.proof.add(instanceId, {
      kind: 'answered',
      askedAtMs,
      voter,
      voterCount,
      lastRevision,
    });
    this.directory.apply(answer, performance.now());
    if (answer.leaderId !== undefined)
      this.leader.hint(answer.leaderId, answer.term);
  }

  /**
   * A difference that leads nowhere, since another text is held here under
   * that revision, is answered by asking for the whole file.
   */
  private applyRulesDiff(diff: RuleDiff): void {
    const held = this.rules?.index.ruleSet;
    // Another instance's answer may have brought the same change already.
    if (held === undefined || diff.toRevision <= held.revision) return;
    const text = applyDiff(held, diff);
    if (text !== undefined) return this.applyRules(text);
    this.takesDiff = false;
    this.options.logger.warn(
      {from: diff.fromRevision, to: diff.toRevision},
      'the difference of the rules does not fit those held'
    );
  }

  /**
   * Only a higher revision is taken: a late answer of a slow instance would
   * otherwise bring rules back that operators have replaced.
   */
  private applyRules(rules: {
    readonly revision: number;
    readonly text: string;
  }): void {
    const {logger, metrics} = this.options;
    if (rules.revision <= this.proof.heldRevision) {
      if (rules.revision < this.proof.heldRevision)
        metrics.count('rules.regressed');
      return;
    }
    const parsed = parseRules(rules.text, this.rules?.index.ruleSet);
    if (!parsed.ok) {
      logger.error(
        {revision: rules.revision, problems: parsed.problems},
        'accepted rules do not parse here'
      );
      return;
    }
    this.rules$.next({
      revision: rules.revision,
      index: new RuleIndex(parsed.ruleSet),
    });
    this.proof.hold(rules.revision);
    this.takesDiff = true;
    metrics.count('rules.applied');
    logger.info({revision: rules.revision}, 'rules in force');
  }

  private failed(instanceId: string, askedAtMs: number, err: PeerError): void {
    this.options.logger.debug({err: err.message}, 'poll failed');
    const {fault} = err;
    if (fault.kind === 'unreachable' && fault.refusedByHost) {
      this.proof.add(instanceId, {kind: 'not running', askedAtMs});
    }
  }
}
