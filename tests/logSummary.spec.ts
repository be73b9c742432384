import type {LogLine} from '../src/cli/logLine';
import {parseLogLine} from '../src/cli/logLine';
import {summarize} from '../src/cli/logSummary';

const LIMITS = {firstEventMs: 401, pauseMs: 120};

function logLine(
  atMs: number,
  event: string,
  fields: Readonly<Record<string, unknown>> = {}
): LogLine {
  const time = new Date(atMs).toISOString();
  const parsed = parseLogLine(
    JSON.stringify({event, time, processId: 'n1', ...fields})
  );
  if (parsed === undefined)
    throw new Error(`cannot parse the log line of ${event}`);
  return parsed;
}

function attemptLine(atMs: number, firstEventMs: number, longestGapMs: number) {
  const fields = {firstEventMs, longestGapMs, tookMs: 1_500};
  const end = {end: 'answered', service: 's'};
  return logLine(atMs, 'request.attempt', {attemptId: 'a', ...end, ...fields});
}

describe('summary of collected logs', () => {
  it('should separate late requests from those in time, and say why they were late', () => {
    const rows = summarize(
      [attemptLine(9_000, 200, 90), attemptLine(9_100, 200, 121)],
      LIMITS
    );
    expect(rows.map(({outcome}) => outcome)).toEqual([
      'in time',
      'late: a pause',
    ]);
  });

  // Expert demand shifts, a map is planned, and streams pause for too long until
  // the map is active. The summary must name the map switch as the cause.
  // Likewise for a stream that is late while its node has no leader.
  it('should name what was under way while a stream was late', () => {
    const rows = summarize(
      [
        logLine(5_000, 'map.planned'),
        attemptLine(5_900, 200, 130),
        logLine(20_000, 'leader.lost'),
        logLine(20_500, 'leader.found'),
        attemptLine(21_000, 500, 90),
        attemptLine(40_000, 500, 90),
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
      [logLine(50_000, 'request.refused', {...fields, boundBy: 'slowGroup'})],
      LIMITS
    );
    expect(rows).toMatchObject([{service: 's', cause: 'limit: slowGroup'}]);
  });

  // Guards against a refusal by overload that is put down to a restart elsewhere.
  it('should name the urgency whose admission ratio refused a request', () => {
    const refusal = {kind: 'overloaded', retryInMs: 900};
    const fields = {attemptId: 'b', refusal, service: 's', boundBy: 'passes'};
    const shed = {...fields, refusedBy: 'ratio', urgency: '1/2', ratio: 0.4};
    const queued = {...fields, refusedBy: 'queue', urgency: '1/2', ratio: 0.4};
    const rows = summarize(
      [
        logLine(49_000, 'process.started'),
        logLine(50_000, 'request.refused', shed),
        logLine(59_000, 'request.refused', queued),
      ],
      LIMITS
    );
    expect(rows.map(({cause}) => cause)).toEqual([
      'admission ratio of urgency 1/2',
      'limit: passes',
    ]);
  });

  it('should count refusals by reason and by cause', () => {
    const refusal = {kind: 'overloaded', retryInMs: 200};
    const fields = {attemptId: 'b', refusal, ageMs: 0};
    const rows = summarize(
      [
        logLine(50_000, 'request.refused', fields),
        logLine(50_010, 'request.refused', fields),
        logLine(60_000, 'process.started'),
        logLine(60_500, 'request.refused', fields),
      ],
      LIMITS
    );
    expect(rows).toMatchObject([
      {outcome: 'refused: overloaded', cause: 'none known', requests: 2},
      {outcome: 'refused: overloaded', cause: 'restart', requests: 1},
    ]);
  });
});
