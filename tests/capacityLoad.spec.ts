import type {Announcement, DispatchReport} from '../src/core/wire';
import {TargetLoad} from '../src/entry/targetLoad';
import {SAMPLE_ANNOUNCEMENT} from './fixtures/sampleAnnouncement';

const BUSY: Announcement = {...SAMPLE_ANNOUNCEMENT, outstanding: 2};

/** The load after a response at time 0 reported the target's state. */
function reported(limit: number): TargetLoad {
  const load = new TargetLoad();
  const report: DispatchReport = {
    targetId: 'planner-0',
    agentBootId: 'boot-1',
    revision: 1,
    temperature: 'warm',
    limit,
    outstanding: 5,
    queued: 0,
    queuedMs: 0,
  };
  load.reported(report, 0);
  return load;
}

/** The view at a time, with an announcement from long before the report. */
function viewAt(load: TargetLoad, nowMs: number) {
  const ages = {sinceArrivalMs: nowMs + 10_000, sinceConfirmationMs: 100};
  const externalFields = {prefixTokens: 0, groupStraggle: 1};
  return load.view(BUSY, ages, externalFields, nowMs);
}

describe('reports in responses against announcements', () => {
  it('should use a report that is newer than the announcement', () => {
    expect(viewAt(reported(16), 4_000)).toMatchObject({
      reportedOutstanding: 5,
      reportAgeMs: 4_000,
    });
  });

  it('should return to an announcement that is still confirmed', () => {
    expect(viewAt(reported(16), 6_001)).toMatchObject({
      reportedOutstanding: 2,
      reportAgeMs: 100,
    });
  });

  it('should expire a limit of 0 after one poll interval', () => {
    // An engine restarts between two polls of its agent. A refusal reports a
    // limit of 0, but control never learns of it and so announces no change. If
    // the report were kept and the other targets left, callers would get
    // "no-target".
    const load = reported(0);
    expect(viewAt(load, 100)).toMatchObject({limit: 0});
    expect(viewAt(load, 101)).toMatchObject({limit: 16});
  });

  // Reports come once a second at best. Prompts that this entry has sent since
  // are still waiting for prefill and delay the next one, but only for a short
  // time.
  it('should count prompts sent a moment ago, and fewer as they are processed', () => {
    const load = reported(16);
    load.began(BUSY.targetId, 400, {tokens: 1000, atMs: 100});
    load.began(BUSY.targetId, 400, {tokens: 1000, atMs: 250});
    const left = (nowMs: number) => viewAt(load, nowMs).ownPromptTokens ?? 0;
    expect(left(250)).toBe(1500);
    expect(left(400)).toBe(750);
    expect(left(4_000)).toBeLessThan(1);
  });
});
