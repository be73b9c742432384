import type {Announcement, DispatchReport} from '../src/core/wire';
import {TargetLoad} from '../src/entry/targetLoad';
import {ANNOUNCED} from './fixtures/announced';

const BUSY: Announcement = {...ANNOUNCED, outstanding: 2};

/** What an answer at time 0 told of the target. */
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

/** The view at a time, of an announcement that came long before the report. */
function viewAt(load: TargetLoad, nowMs: number) {
  const ages = {arrivedMs: nowMs + 10_000, confirmedMs: 100};
  const elsewhere = {prefixTokens: 0, groupStraggle: 1};
  return load.view(BUSY, ages, elsewhere, nowMs);
}

describe('reports with answers against announcements', () => {
  it('should take a report that is newer than the announcement', () => {
    expect(viewAt(reported(16), 4_000)).toMatchObject({
      reportedOutstanding: 5,
      reportAgeMs: 4_000,
    });
  });

  it('should go back to an announcement that is still confirmed', () => {
    expect(viewAt(reported(16), 6_001)).toMatchObject({
      reportedOutstanding: 2,
      reportAgeMs: 100,
    });
  });

  it('should not hold on to a target being closed for a moment', () => {
    // An engine restarts. Between two polls of its agent it takes nothing, and
    // a refusal says so; control never hears of it and so tells of no change.
    // When the other targets leave, callers would be told that there is none.
    const load = reported(0);
    expect(viewAt(load, 100)).toMatchObject({limit: 0});
    expect(viewAt(load, 101)).toMatchObject({limit: 16});
  });

  // Reports come once a second at best. What this entry sent since waits to be
  // taken in, and the next prompt would wait behind it, but not for ever.
  it('should count prompts sent a moment ago, and less as they are taken in', () => {
    const load = reported(16);
    load.began(BUSY.targetId, 400, {tokens: 1000, atMs: 100});
    load.began(BUSY.targetId, 400, {tokens: 1000, atMs: 250});
    const left = (nowMs: number) => viewAt(load, nowMs).ownPromptTokens ?? 0;
    expect(left(250)).toBe(1500);
    expect(left(400)).toBe(750);
    expect(left(4_000)).toBeLessThan(1);
  });
});
