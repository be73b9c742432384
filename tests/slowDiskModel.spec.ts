import {runSlowDiskSchedule} from '../bench/fuzz/slowDiskModel';

const SCHEDULES = 100;
/** The first draws of neighbouring seeds are alike. */
const SEED_STEP = 97;
/** Without a leader until the end: stalls, slow disks, and votes stored late. */
const FAULT_SEEDS = [87, 129, 133, 544, 552, 1336, 1588];

describe('elections on slow disks', () => {
  // While syncs took longer than the retry timeout of candidates, no vote counted:
  // each attempt discarded the votes of the one before.
  it('should elect a leader in time however long syncs take', () => {
    const seeds = Array.from({length: SCHEDULES}, (_, i) => 1 + i * SEED_STEP);
    const times = [...seeds, ...FAULT_SEEDS].map(runSlowDiskSchedule);
    // Schedules of fast disks would pass without the safeguards.
    expect(times.filter(ms => ms > 10_000).length).toBeGreaterThan(10);
  });
});
