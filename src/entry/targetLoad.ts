/** Tracks the work that this entry has sent to each target, and the reports. */

import type {Announcement, DispatchReport} from '../core/wire';
import type {AnnouncementAges} from '../sync/targetDirectory';
import type {TargetView} from '../policy/sampledTargetChoice';
import {
  NO_PROMPTS,
  pendingPromptTokens,
  addPrompt,
} from '../policy/recentPrompts';
import type {RecentPrompts} from '../policy/recentPrompts';

const FAILURE_WINDOW_MS = 5_000;
/** Within this time control announces any change that came after a report. */
const MAX_REPORT_AGE_MS = 6_000;
/**
 * The interval between announcements of a target when each poll carried one.
 */
const MAX_ZERO_LIMIT_REPORT_AGE_MS = 100;

/** Fields of a TargetView that other components of the entry provide. */
export type ExternalViewFields = Pick<
  TargetView,
  'prefixTokens' | 'groupStraggle' | 'returnWeight'
>;

interface TargetCounters {
  outstanding: number;
  tokens: number;
  sinceReport: number;
  prompts: RecentPrompts;
  failedAtMs: number[];
  report: DispatchReport | undefined;
  reportedAtMs: number;
  /** Boot and sequence number of the last announcement that was used. */
  announcedBoot: string;
  announcedSeq: number;
}

/** The work of this entry in progress, by target. */
export class TargetLoad {
  private readonly loads = new Map<string, TargetCounters>();

  /** `prompt` is what the target must process before the first token. */
  began(targetId: string, cost: number, prompt = NO_PROMPTS): void {
    const load = this.loadOf(targetId);
    load.outstanding++;
    load.tokens += cost;
    load.sinceReport++;
    load.prompts = addPrompt(load.prompts, prompt.tokens, prompt.atMs);
  }

  ended(targetId: string, cost: number): void {
    const load = this.loadOf(targetId);
    load.outstanding--;
    load.tokens -= cost;
  }

  failed(targetId: string, nowMs: number): void {
    this.loadOf(targetId).failedAtMs.push(nowMs);
  }

  /**
   * Takes a report from a response; it is newer than any announcement so far.
   */
  reported(report: DispatchReport, nowMs: number): void {
    const load = this.loadOf(report.targetId);
    load.report = report;
    load.reportedAtMs = nowMs;
    load.sinceReport = 0;
  }

  view(
    announcement: Announcement,
    ages: AnnouncementAges,
    {prefixTokens, groupStraggle, returnWeight}: ExternalViewFields,
    nowMs: number
  ): TargetView {
    const load = this.loadOf(announcement.targetId);
    dropExpiredFailures(load, nowMs);
    const {targetId, availabilityZone, tokensInWork} = announcement;
    resetOnNewAnnouncement(load, announcement);
    const {newest, ageMs} = newestReport(announcement, ages, load, nowMs);
    return {
      targetId,
      availabilityZone,
      temperature: newest.temperature,
      limit: newest.limit,
      reportedOutstanding: newest.outstanding,
      reportedQueued: newest.queued,
      reportedTokens: tokensInWork ?? 0,
      reportAgeMs: ageMs,
      ownOutstanding: load.outstanding,
      ownTokens: load.tokens,
      ownSinceReport: load.sinceReport,
      ownPromptTokens: pendingPromptTokens(load.prompts, nowMs),
      prefixTokens,
      recentFailures: load.failedAtMs.length,
      groupStraggle,
      returnWeight,
    };
  }

  private loadOf(targetId: string): TargetCounters {
    const existing = this.loads.get(targetId);
    if (existing !== undefined) return existing;
    const load: TargetCounters = {
      outstanding: 0,
      tokens: 0,
      sinceReport: 0,
      prompts: NO_PROMPTS,
      failedAtMs: [],
      report: undefined,
      reportedAtMs: -Infinity,
      announcedBoot: '',
      announcedSeq: -1,
    };
    this.loads.set(targetId, load);
    return load;
  }
}

/**
 * Runs for every target in every call, so it copies nothing without failures.
 */
function dropExpiredFailures(load: TargetCounters, nowMs: number): void {
  if (load.failedAtMs.length === 0) return;
  load.failedAtMs = load.failedAtMs.filter(
    at => nowMs - at < FAILURE_WINDOW_MS
  );
}

/**
 * A new announcement already includes the requests that were sent before it.
 */
function resetOnNewAnnouncement(
  load: TargetCounters,
  {agentBootId, seq}: Announcement
): void {
  if (load.announcedSeq === seq && load.announcedBoot === agentBootId) return;
  load.announcedBoot = agentBootId;
  load.announcedSeq = seq;
  load.sinceReport = 0;
}

/**
 * A limit of 0 that lasts for less than the time between two polls of the agent
 * is never announced, and neither is its end. Such a report must expire early,
 * or it would keep work away from the target for seconds.
 */
function maxReportAgeMs(report: DispatchReport | undefined): number {
  return report?.limit === 0 ? MAX_ZERO_LIMIT_REPORT_AGE_MS : MAX_REPORT_AGE_MS;
}

interface NewestReport {
  readonly newest: Pick<
    Announcement,
    'temperature' | 'limit' | 'outstanding' | 'queued'
  >;
  readonly ageMs: number;
}

function newestReport(
  announcement: Announcement,
  ages: AnnouncementAges,
  {report, reportedAtMs}: TargetCounters,
  nowMs: number
): NewestReport {
  const reportAgeMs = nowMs - reportedAtMs;
  const sameBoot = report?.agentBootId === announcement.agentBootId;
  const isStale =
    reportAgeMs > ages.sinceArrivalMs || reportAgeMs > maxReportAgeMs(report);
  if (report === undefined || !sameBoot || isStale) {
    return {newest: announcement, ageMs: ages.sinceConfirmationMs};
  }
  return {newest: report, ageMs: reportAgeMs};
}
