/**
 * Keeps one entry or agent in sync with control: polls every control instance,
 * announces the target, applies the newest rules and maintains the proof that
 * they are current, and finds the leader for calls that need it.
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
import {AnnouncementTracker} from './announcementTracker';
import {Freshness, FreshnessProof} from './freshness';
import {LeaderCalls} from './leaderCalls';
import {LocateResult, locateTarget} from './locateTarget';
import {TargetDirectory} from './targetDirectory';
import {UsageReport, UsageTracker} from './usageTracker';

/** What the process reports of itself; evaluated at each poll. */
export interface SelfReport {
  readonly announcement?: Announcement;
  readonly usage?: readonly CustomerUsage[];
}

/** Settings of the poll loops. */
export interface ControlSyncOptions {
  readonly processId: string;
  readonly role: 'entry' | 'agent';
  readonly bootId: string;
  readonly availabilityZone: string;
  /** For entries: how many targets of each pool to follow. */
  readonly subset?: number;
  readonly instances: readonly PeerClient[];
  readonly pollMs: number;
  /**
   * Age at which a proof that the rules are current expires; also the RPC
   * timeout.
   */
  readonly proofMs: number;
  readonly report: () => SelfReport;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The rules that this process applies. */
export interface ActiveRules {
  readonly revision: number;
  readonly index: RuleIndex;
}

/** Connects one process to all control instances. */
export class ControlSync {
  readonly directory = new TargetDirectory();
  readonly leader: LeaderCalls;
  /** Undefined until the first rules are known. */
  readonly rules$ = new BehaviorSubject<ActiveRules | undefined>(undefined);
  private readonly proof: FreshnessProof;
  private readonly announcementTrackers: ReadonlyMap<
    string,
    AnnouncementTracker
  >;
  private subscription: Subscription | undefined;
  private readonly usageTrackers: ReadonlyMap<string, UsageTracker>;
  private leaving = false;
  private wasProven = false;
  private takesDiff = true;

  constructor(private readonly options: ControlSyncOptions) {
    this.proof = new FreshnessProof(options.instances.length, options.proofMs);
    this.leader = new LeaderCalls(options.instances);
    this.announcementTrackers = new Map(
      options.instances.map(({address}) => [
        address.id,
        new AnnouncementTracker(),
      ])
    );
    this.usageTrackers = new Map(
      options.instances.map(({address}) => [address.id, new UsageTracker()])
    );
  }

  start(): void {
    const {instances, pollMs} = this.options;
    // One loop per instance, so that a silent instance does not delay the
    // others.
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

  get rules(): ActiveRules | undefined {
    return this.rules$.value;
  }

  freshness(): Freshness {
    const freshness = this.proof.evaluate(performance.now());
    if (freshness.kind === 'unproven' && this.wasProven) {
      this.options.metrics.count('rules.unproven');
      this.options.logger.warn(
        {ageMs: freshness.ageMs},
        `the rules are no longer proven current: no majority of control instances confirmed them within ${this.options.proofMs} ms`
      );
    }
    this.wasProven = freshness.kind !== 'unproven';
    return freshness;
  }

  /** Records that a revision exists, as reported by another process. */
  observeRevision(revision: number): void {
    this.proof.observeRevision(revision);
  }

  /** Finds a target, including one that is not in this entry's subset. */
  async locate(targetId: string): Promise<LocateResult> {
    const known = this.directory
      .list()
      .find(announcement => announcement.targetId === targetId);
    if (known !== undefined) return {kind: 'found', announcement: known};
    const {instances, proofMs} = this.options;
    return locateTarget(
      instances.map(
        instance => () =>
          instance.call<LocateAnswer>(METHODS.locate, {targetId}, proofMs)
      )
    );
  }

  /**
   * Reports the final state to every control instance when the process leaves.
   * Usage goes to all of them from now on, not only to the leader.
   */
  async announceLeaving(): Promise<void> {
    this.leaving = true;
    for (const tracker of this.usageTrackers.values())
      tracker.reportAtNextPoll();
    await Promise.all(
      this.options.instances.map(instance => this.poll(instance))
    );
  }

  private async poll(instance: PeerClient): Promise<void> {
    const askedAtMs = performance.now();
    const instanceId = instance.address.id;
    const {announcement, usage} = this.options.report();
    const tracker = this.announcementTrackers.get(instanceId);
    const sentAnnouncement = announcement && tracker?.next(announcement);
    const usageReport =
      usage && this.nextUsageReport(instanceId, usage, askedAtMs);
    try {
      const reply = await instance.call<PollAnswer>(
        METHODS.poll,
        {
          ...this.buildPollRequest(instanceId),
          ...usageReport?.part,
          ...sentAnnouncement?.part,
        },
        this.options.proofMs
      );
      if (sentAnnouncement !== undefined)
        tracker?.handleReply(sentAnnouncement, reply);
      if (usageReport !== undefined)
        this.usageTrackers.get(instanceId)?.handleReply(usageReport, reply);
      this.applyReply(reply, askedAtMs);
    } catch (err) {
      if (!(err instanceof PeerError)) throw err;
      tracker?.invalidate();
      this.handlePollFailure(instanceId, askedAtMs, err);
    }
    this.directory.expire(performance.now());
  }

  /**
   * Usage goes to the leader only, which logs it; a newly elected leader gets
   * every row that it does not hold. The final report goes to all instances:
   * if this process ends and then the leader fails, nobody else could report
   * that usage again.
   */
  private nextUsageReport(
    instanceId: string,
    usage: readonly CustomerUsage[],
    nowMs: number
  ): UsageReport | undefined {
    const {leaderHint} = this.leader;
    const mayBeLeader = leaderHint === undefined || leaderHint === instanceId;
    if (!mayBeLeader && !this.leaving) return undefined;
    return this.usageTrackers.get(instanceId)?.nextReport(usage, nowMs);
  }

  private buildPollRequest(instanceId: string): PollRequest {
    const {processId, role, bootId, availabilityZone, subset} = this.options;
    const freshness = this.proof.evaluate(performance.now());
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
        role === 'entry' ? this.directory.cursorFor(instanceId) : undefined,
      subset,
    };
  }

  private applyReply(reply: PollAnswer, askedAtMs: number): void {
    if (reply.rulesDiff !== undefined) this.applyRulesDiff(reply.rulesDiff);
    if (reply.rules !== undefined) this.applyRules(reply.rules);
    const {voter, voterCount, lastRevision, instanceId} = reply;
    this.proof.addEvidence(instanceId, {
      kind: 'answered',
      askedAtMs,
      voter,
      voterCount,
      lastRevision,
    });
    this.directory.apply(reply, performance.now());
    if (reply.leaderId !== undefined)
      this.leader.noteLeader(reply.leaderId, reply.term);
  }

  /**
   * A diff does not apply when this process holds another text under the base
   * revision. The next polls then ask for the whole file.
   */
  private applyRulesDiff(diff: RuleDiff): void {
    const active = this.rules?.index.ruleSet;
    // Another instance's reply may have delivered the same change already.
    if (active === undefined || diff.toRevision <= active.revision) return;
    const rules = applyDiff(active, diff);
    if (rules !== undefined) return this.applyRules(rules);
    this.takesDiff = false;
    this.options.logger.warn(
      {from: diff.fromRevision, to: diff.toRevision},
      `the rule diff from revision ${diff.fromRevision} to ${diff.toRevision} does not apply to the rules held here; requesting the whole file`
    );
  }

  /**
   * Applies only a higher revision: a late reply of a slow instance would
   * otherwise bring back rules that operators have replaced.
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
        `rules of revision ${rules.revision}, accepted by control, do not parse here; the previous rules stay active`
      );
      return;
    }
    this.rules$.next({
      revision: rules.revision,
      index: new RuleIndex(parsed.ruleSet),
    });
    this.proof.setAppliedRevision(rules.revision);
    this.takesDiff = true;
    metrics.count('rules.applied');
    logger.info({revision: rules.revision}, 'rules in force');
  }

  private handlePollFailure(
    instanceId: string,
    askedAtMs: number,
    err: PeerError
  ): void {
    this.options.logger.debug(
      {err: err.message},
      `poll of control instance ${instanceId} failed`
    );
    const {fault} = err;
    if (fault.kind === 'unreachable' && fault.refusedByHost) {
      this.proof.addEvidence(instanceId, {kind: 'not running', askedAtMs});
    }
  }
}
