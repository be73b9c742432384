import type {LogLine} from '../src/cli/logLine';
import {parseLogLine} from '../src/cli/logLine';
import {summarize} from '../src/cli/logSummary';

const LIMITS = {firstEventMs: 401, pauseMs: 120};

function line(
  atMs: number,
  event: string,
  fields: Readonly<Record<string, unknown>> = {}
): LogLine {
  const time = new Date(atMs).toISOString();
  const parsed = parseLogLine(
    JSON.stringify({event, time, processId: 'n1', ...fields})
  );
  if (parsed === undefined) throw new Error('not a line');
  return parsed;
}

function answered(atMs: number, firstEventMs: number, longestGapMs: number) {
  const fields = {firstEventMs, longestGapMs, tookMs: 1_500};
  const end = {end: 'answered', service: 's'};
  return line(atMs, 'request.attempt', {attemptId: 'a', ...end, ...fields});
}

describe('summary of collected logs', () => {
  it('should tell the late from those in time, and why they were late', () => {
    const rows = summarize(
      [answered(9_000, 200, 90), answered(9_100, 200, 121)],
      LIMITS
    );
    expect(rows.map(({outcome}) => outcome)).toEqual([
      'in time',
      'late: a pause',
    ]);
  });

  // Experts come into demand, a map is planned, and streams have a long pause
  // before it is in force: the summary must lead from the one to the other.
  it('should name what was under way while a stream was late', () => {
    const rows = summarize(
      [
        line(5_000, 'map.planned'),
        answered(5_900, 200, 130),
        line(20_000, 'leader.lost'),
        line(20_500, 'leader.found'),
        answered(21_000, 500, 90),
        answered(40_000, 500, 90),
      ],
      LIMITS
    );
    expect(rows.map(({outcome, cause}) => `${outcome}, ${cause}`)).toEqual([
      'late: a pause, map switch',
      'late: first event, no leader',
      'late: first event, none known',
    ]);
  });

  it('should name the limit that refused a request', () => {
    const refusal = {kind: 'overloaded', retryInMs: 200};
    const fields = {attemptId: 'b', refusal, service: 's'};
    const rows = summarize(
      [line(50_000, 'request.refused', {...fields, boundBy: 'slowGroup'})],
      LIMITS
    );
    expect(rows).toMatchObject([{service: 's', cause: 'limit: slowGroup'}]);
  });

  it('should count refusals by their reason', () => {
    const refusal = {kind: 'overloaded', retryInMs: 200};
    const fields = {attemptId: 'b', refusal, ageMs: 0};
    const rows = summarize(
      [
        line(50_000, 'request.refused', fields),
        line(50_010, 'request.refused', fields),
        line(60_000, 'process.started'),
        line(60_500, 'request.refused', fields),
      ],
      LIMITS
    );
    expect(rows).toMatchObject([
      {outcome: 'refused: overloaded', cause: 'none known', requests: 2},
      {outcome: 'refused: overloaded', cause: 'restart', requests: 1},
    ]);
  });
});
