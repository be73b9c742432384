import type {LogHistory} from '../bench/fuzz/logHistory';
import {runLogSchedule} from '../bench/fuzz/logModel';

const SCHEDULES = 150;

describe('replicated log under seeded schedules', () => {
  it('should keep its promises, and recover, whatever fails', () => {
    const histories = Array.from({length: SCHEDULES}, (_, seed) =>
      runLogSchedule(seed + 1)
    );
    const sum = (countOf: (history: LogHistory) => number): number =>
      histories.reduce((total, history) => total + countOf(history), 0);
    // Schedules in which nothing happens would pass every check, so require
    // that enough happened.
    expect(sum(history => history.acceptedCount)).toBeGreaterThan(10_000);
    expect(sum(history => history.barrierCount)).toBeGreaterThan(5000);
    expect(sum(history => history.electedCount)).toBeGreaterThan(400);
    expect(sum(history => history.restoredCount)).toBeGreaterThan(200);
    expect(sum(history => history.configurationChangeCount)).toBeGreaterThan(
      400
    );
  });
});
