import {ShiftDetector} from '../src/ranks/shiftDetector';
import type {DemandChange} from '../src/ranks/expertDemand';

const TICK_MS = 20;
/** A reading holds the group up for so long. */
const HOLD_MS = 20;

/** Plays a pace over time and answers each reading. */
class WatchFixture {
  readonly watch = new ShiftDetector(HOLD_MS);
  readonly read: string[] = [];
  movedOn = 0;
  private nowMs = 0;

  run(ms: number, paceMs: number, answer: DemandChange): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      const due = this.watch.next({passMs: paceMs, forecastMs: 50}, this.nowMs);
      if (due === undefined) continue;
      this.read.push(due.isBegin ? 'begin' : 'sample');
      this.watch.took(due, due.isBegin ? 'nothing' : answer, this.nowMs);
      if (this.watch.isEmpty) this.movedOn++;
    }
  }

  takeRead(): readonly string[] {
    return this.read.splice(0);
  }
}

function calm(): WatchFixture {
  const fixture = new WatchFixture();
  fixture.run(200, 50, 'shifted');
  fixture.run(2_000, 50, 'same');
  fixture.takeRead();
  return fixture;
}

describe('watch over the demand for experts', () => {
  it('should read a sample twice when streams begin', () => {
    const fixture = new WatchFixture();
    fixture.run(500, 0, 'nothing');
    expect(fixture.takeRead()).toEqual([]);
    fixture.run(200, 50, 'shifted');
    expect(fixture.takeRead()).toEqual(['begin', 'sample']);
  });

  // Each reading holds the group up: read each tenth of a second, a large sample
  // would take a fifth of all that the group can do.
  it('should hold the group up for 2% of the time while the pace is even', () => {
    const fixture = calm();
    fixture.run(5_000, 50, 'same');
    const read = fixture.takeRead();
    expect(read.length).toBeGreaterThan(3);
    expect(read.length * HOLD_MS).toBeLessThanOrEqual(0.02 * 5_000);
  });

  // Experts that stand on one rank come into demand, and every pass takes half
  // as long again. Callers see late events until the next map, so that the new
  // demand must be known within a few passes.
  it('should measure the new demand within 140 ms of a slower pace', () => {
    const fixture = calm();
    fixture.run(140, 75, 'shifted');
    expect(fixture.takeRead()).toEqual(['begin', 'sample']);
  });

  // The copies of the switch that answers a shift slow passes down themselves.
  it('should not take the pace of the next moment for another shift', () => {
    const fixture = calm();
    fixture.run(140, 75, 'shifted');
    fixture.takeRead();
    fixture.run(500, 90, 'same');
    expect(fixture.takeRead()).toEqual([]);
  });

  it('should measure again when a sample shows another demand', () => {
    const fixture = calm();
    fixture.run(1_000, 50, 'shifting');
    fixture.run(200, 50, 'shifted');
    expect(fixture.takeRead()).toEqual(['sample', 'sample']);
  });

  // Hardly a request runs when streams begin. Reading other ranks each time,
  // before their windows had begun, nothing was known of demand for good.
  it('should begin the windows of other ranks before it reads them', () => {
    const fixture = calm();
    fixture.run(3_000, 75, 'nothing');
    const read = fixture.takeRead();
    expect(read.slice(0, 6)).toEqual([
      'begin',
      'sample',
      'sample',
      'sample',
      'begin',
      'sample',
    ]);
    expect(fixture.movedOn).toBeGreaterThan(0);
  });

  it('should read less and less often while nothing is to be learned', () => {
    const fixture = calm();
    fixture.run(3_000, 75, 'nothing');
    fixture.takeRead();
    fixture.run(10_000, 75, 'nothing');
    const read = fixture.takeRead();
    expect(read.length * HOLD_MS).toBeLessThanOrEqual(0.02 * 10_000);
  });

  // A leader was lost inside a switch, and streams show a pause of 0.8 s. Measured
  // over a pass of that length, the new demand is known a second too late.
  it('should measure soon after a pass that was held up', () => {
    const fixture = new WatchFixture();
    fixture.run(400, 760, 'shifted');
    expect(fixture.takeRead()).toEqual(['begin', 'sample']);
  });
});
