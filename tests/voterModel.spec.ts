import {sum} from '../src/core/sum';
import {runVoterSchedule} from '../bench/fuzz/voterModel';

const SCHEDULES = 60;

describe('bounded voters under seeded schedules', () => {
  it('should keep its promises, and recover, whatever fails', () => {
    const histories = Array.from({length: SCHEDULES}, (_, seed) =>
      runVoterSchedule(seed + 1)
    );
    const changes = histories.map(one => one.configurationChangeCount);
    const accepted = histories.map(one => one.acceptedCount);
    // Schedules in which nothing happens would pass every check.
    expect(sum(changes)).toBeGreaterThan(300);
    expect(sum(accepted)).toBeGreaterThan(3_000);
  });
});
