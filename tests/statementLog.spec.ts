import {StatementLog} from '../bench/soak/statementLog';

const LIMIT = {fromMs: 0, untilMs: 20_000, perSecond: 1};

/** A log of one limit, with a request of each node each `everyMs` from 5 s on. */
function logOf(ips: readonly string[], everyMs: number): StatementLog {
  const log = new StatementLog();
  log.limits.push(LIMIT);
  for (const ip of ips) {
    log.told.push({atMs: 1_000, ip});
    for (let atMs = 5_000; atMs < 9_000; atMs += everyMs)
      log.arrivals.push({atMs, ip});
  }
  return log;
}

describe('statements of targets in the soak', () => {
  it('should count the requests of all nodes that were told', () => {
    expect(logOf(['a', 'b'], 800).violations([])).toEqual([]);
    expect(logOf(['a', 'b'], 600).violations([])).toEqual([
      {
        promise: 'rateLimit',
        detail: '14 requests in 4 s at a limit of 1 per second',
      },
    ]);
  });

  it('should excuse a node that was disturbed since it was told', () => {
    const log = logOf(['a', 'b'], 600);
    expect(log.violations([{atMs: 3_000, ip: 'b'}])).toEqual([]);
    expect(log.violations([{atMs: 500, ip: 'b'}])).toHaveLength(1);
    log.told.push({atMs: 4_000, ip: 'b'});
    expect(log.violations([{atMs: 3_000, ip: 'b'}])).toHaveLength(1);
  });

  it('should not count requests before the rule holds, or of a node not told', () => {
    const log = logOf(['a'], 400);
    for (let atMs = 0; atMs < 3_000; atMs += 50)
      log.arrivals.push({atMs, ip: 'a'});
    for (let atMs = 5_000; atMs < 9_000; atMs += 50)
      log.arrivals.push({atMs, ip: 'new'});
    expect(log.violations([])).toEqual([]);
  });

  it('should count the requests of a node in a rest that it was asked for', () => {
    const log = new StatementLog();
    log.rests.push({atMs: 1_000, ip: 'a', untilMs: 4_000});
    for (const atMs of [1_100, 1_400, 2_000, 3_000, 4_000])
      log.arrivals.push({atMs, ip: 'a'});
    for (const atMs of [2_000, 2_500, 3_000])
      log.arrivals.push({atMs, ip: 'b'});
    expect(log.violations([])).toEqual([]);
    log.arrivals.push({atMs: 3_500, ip: 'a'});
    expect(log.violations([])).toMatchObject([{promise: 'rest'}]);
    expect(log.violations([{atMs: 2_500, ip: 'a'}])).toEqual([]);
  });

  it('should find requests to a target that has said that it leaves', () => {
    const log = new StatementLog();
    log.departures.push({atMs: 1_000, ip: 'a'});
    for (const atMs of [1_500, 2_900]) log.arrivals.push({atMs, ip: 'a'});
    for (const atMs of [3_500, 9_000]) log.arrivals.push({atMs, ip: 'b'});
    expect(log.violations([])).toEqual([]);
    log.arrivals.push({atMs: 3_100, ip: 'a'});
    expect(log.violations([])).toMatchObject([{promise: 'leaving'}]);
    expect(log.violations([{atMs: 2_000, ip: 'a'}])).toEqual([]);
    log.startsMs.push(3_050);
    expect(log.violations([])).toEqual([]);
  });
});
