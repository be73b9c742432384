import {ShiftDetector} from '../src/ranks/shiftDetector';
import type {DemandChange} from '../src/ranks/expertDemand';

const TICK_MS = 20;
/** Time for which a reading holds up the group. */
const HOLD_MS = 20;

/** Simulates passes of a given duration, and gives a result to each reading. */
class DetectorFixture {
  readonly detector = new ShiftDetector(HOLD_MS);
  readonly readings: string[] = [];
  sampleMoves = 0;
  private nowMs = 0;

  run(ms: number, passMs: number, result: DemandChange): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      const due = this.detector.nextReading(
        {passMs, forecastMs: 50},
        this.nowMs
      );
      if (due === undefined) continue;
      this.readings.push(due.isBegin ? 'begin' : 'sample');
      this.detector.noteReading(
        due,
        due.isBegin ? 'nothing' : result,
        this.nowMs
      );
      if (this.detector.isSampleEmpty) this.sampleMoves++;
    }
  }

  takeReadings(): readonly string[] {
    return this.readings.splice(0);
  }
}

function steadyFixture(): DetectorFixture {
  const fixture = new DetectorFixture();
  fixture.run(200, 50, 'shifted');
  fixture.run(2_000, 50, 'same');
  fixture.takeReadings();
  return fixture;
}

describe('demand shift detector', () => {
  it('should read a sample twice when streams begin', () => {
    const fixture = new DetectorFixture();
    fixture.run(500, 0, 'nothing');
    expect(fixture.takeReadings()).toEqual([]);
    fixture.run(200, 50, 'shifted');
    expect(fixture.takeReadings()).toEqual(['begin', 'sample']);
  });

  // Each reading holds up the group. Reading a large sample each tenth of a
  // second would take a fifth of the group's time.
  it('should hold up the group for at most 2% of the time without slower passes', () => {
    const fixture = steadyFixture();
    fixture.run(5_000, 50, 'same');
    const read = fixture.takeReadings();
    expect(read.length).toBeGreaterThan(3);
    expect(read.length * HOLD_MS).toBeLessThanOrEqual(0.02 * 5_000);
  });

  // Experts on the same rank come into demand, and every pass takes half as
  // long again. Callers get late events until the next map is active, so the
  // new demand must be known within a few passes.
  it('should measure the new demand within 140 ms of slower passes', () => {
    const fixture = steadyFixture();
    fixture.run(140, 75, 'shifted');
    expect(fixture.takeReadings()).toEqual(['begin', 'sample']);
  });

  // The copies of the switch that follows a shift slow passes down further.
  it('should not raise another alarm right after a shift', () => {
    const fixture = steadyFixture();
    fixture.run(140, 75, 'shifted');
    fixture.takeReadings();
    fixture.run(500, 90, 'same');
    expect(fixture.takeReadings()).toEqual([]);
  });

  it('should measure again when demand shifted within a window', () => {
    const fixture = steadyFixture();
    fixture.run(1_000, 50, 'shifting');
    fixture.run(200, 50, 'shifted');
    expect(fixture.takeReadings()).toEqual(['sample', 'sample']);
  });

  // When streams begin, hardly any requests run. When each reading used other
  // ranks, before their windows had begun, demand stayed unknown forever.
  it('should begin the windows of other ranks before it reads them', () => {
    const fixture = steadyFixture();
    fixture.run(3_000, 75, 'nothing');
    const read = fixture.takeReadings();
    expect(read.slice(0, 6)).toEqual([
      'begin',
      'sample',
      'sample',
      'sample',
      'begin',
      'sample',
    ]);
    expect(fixture.sampleMoves).toBeGreaterThan(0);
  });

  it('should read less and less often while samples are too small', () => {
    const fixture = steadyFixture();
    fixture.run(3_000, 75, 'nothing');
    fixture.takeReadings();
    fixture.run(10_000, 75, 'nothing');
    const read = fixture.takeReadings();
    expect(read.length * HOLD_MS).toBeLessThanOrEqual(0.02 * 10_000);
  });

  // A leader was lost during a switch, and streams show a pause of 0.8 s. A
  // window of that length would show the new demand a second too late.
  it('should measure soon after a pass that was held up', () => {
    const fixture = new DetectorFixture();
    fixture.run(400, 760, 'shifted');
    expect(fixture.takeReadings()).toEqual(['begin', 'sample']);
  });
});
