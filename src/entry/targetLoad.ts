/** What this entry itself has sent to each target, for the choice of one. */

import type {Announcement, DispatchReport} from '../core/wire';
import type {AnnouncementAges} from '../sync/targetDirectory';
import type {TargetView} from '../policy/balance';
import {NO_PROMPTS, promptsLeft, withPrompt} from '../policy/recentPrompts';
import type {RecentPrompts} from '../policy/recentPrompts';

const FAILURE_MEMORY_MS = 5_000;
/** Within this, control tells of any change that came after the report. */
const MAX_REPORT_AGE_MS = 6_000;
/** As often as announcements of a target came in when each poll brought one. */
const CLOSED_REPORT_AGE_MS = 100;

/** What a view of a target takes from other parts of the entry. */
export type KnownElsewhere = Pick<
  TargetView,
  'prefixTokens' | 'groupStraggle' | 'returnWeight'
>;

interface Load {
  outstanding: number;
  tokens: number;
  sinceReport: number;
  prompts: RecentPrompts;
  failedAtMs: number[];
  report: DispatchReport | undefined;
  reportedAtMs: number;
  /** Boot and number of the last announcement that was used. */
  announcedBoot: string;
  announcedSeq: number;
}

/** Own work by target. */
export class TargetLoad {
  private readonly loads = new Map<string, Load>();

  /** `prompt` is what the target has to take in first. */
  began(targetId: string, cost: number, prompt = NO_PROMPTS): void {
    const load = this.loadOf(targetId);
    load.outstanding++;
    load.tokens += cost;
    load.sinceReport++;
    load.prompts = withPrompt(load.prompts, prompt.tokens, prompt.atMs);
  }

  ended(targetId: string, cost: number): void {
    const load = this.loadOf(targetId);
    load.outstanding--;
    load.tokens -= cost;
  }

  failed(targetId: string, nowMs: number): void {
    this.loadOf(targetId).failedAtMs.push(nowMs);
  }

  /** A report that came with an answer is newer than any announcement. */
  reported(report: DispatchReport, nowMs: number): void {
    const load = this.loadOf(report.targetId);
    load.report = report;
    load.reportedAtMs = nowMs;
    load.sinceReport = 0;
  }

  view(
    announcement: Announcement,
    ages: AnnouncementAges,
    {prefixTokens, groupStraggle, returnWeight}: KnownElsewhere,
    nowMs: number
  ): TargetView {
    const load = this.loadOf(announcement.targetId);
    forgetFailures(load, nowMs);
    const {targetId, availabilityZone, tokensInWork} = announcement;
    noteAnnounced(load, announcement);
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
      ownPromptTokens: promptsLeft(load.prompts, nowMs),
      prefixTokens,
      recentFailures: load.failedAtMs.length,
      groupStraggle,
      returnWeight,
    };
  }

  private loadOf(targetId: string): Load {
    const known = this.loads.get(targetId);
    if (known !== undefined) return known;
    const load: Load = {
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

/** Every call asks for a view of every target: without failures, no new list. */
function forgetFailures(load: Load, nowMs: number): void {
  if (load.failedAtMs.length === 0) return;
  load.failedAtMs = load.failedAtMs.filter(
    at => nowMs - at < FAILURE_MEMORY_MS
  );
}

/** A newer announcement counts what was sent before it. */
function noteAnnounced(load: Load, {agentBootId, seq}: Announcement): void {
  if (load.announcedSeq === seq && load.announcedBoot === agentBootId) return;
  load.announcedBoot = agentBootId;
  load.announcedSeq = seq;
  load.sinceReport = 0;
}

/**
 * A target that took nothing for a moment, between two polls of its agent, is
 * never told of as closed, nor as open again: held on to, the report would keep
 * work from it long after.
 */
function maxAgeMs(report: DispatchReport | undefined): number {
  return report?.limit === 0 ? CLOSED_REPORT_AGE_MS : MAX_REPORT_AGE_MS;
}

interface Reported {
  readonly newest: Pick<
    Announcement,
    'temperature' | 'limit' | 'outstanding' | 'queued'
  >;
  readonly ageMs: number;
}

function newestReport(
  announcement: Announcement,
  ages: AnnouncementAges,
  {report, reportedAtMs}: Load,
  nowMs: number
): Reported {
  const reportAgeMs = nowMs - reportedAtMs;
  const sameBoot = report?.agentBootId === announcement.agentBootId;
  const isOlder =
    reportAgeMs > ages.arrivedMs || reportAgeMs > maxAgeMs(report);
  if (report === undefined || !sameBoot || isOlder) {
    return {newest: announcement, ageMs: ages.confirmedMs};
  }
  return {newest: report, ageMs: reportAgeMs};
}
