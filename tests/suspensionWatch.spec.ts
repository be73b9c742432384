import {SuspensionWatch} from '../src/node/suspensionWatch';

const TICK_MS = 100;

describe('a process that stood still', () => {
  let steadyMs = 0;
  let wallMs = 0;
  let watch: SuspensionWatch;

  /** Runs, or stands still, for a while by both clocks. */
  function advance(ms: number, isRunning: boolean): void {
    for (let left = ms; left > 0; left -= TICK_MS) {
      steadyMs += TICK_MS;
      wallMs += TICK_MS;
      if (isRunning) jest.advanceTimersByTime(TICK_MS);
    }
  }

  beforeEach(() => {
    jest.useFakeTimers({doNotFake: ['performance']});
    watch = new SuspensionWatch({
      steadyMs: () => steadyMs,
      wallMs: () => wallMs,
    });
  });
  afterEach(() => {
    watch.close();
    jest.useRealTimers();
  });

  it('should have no backlog while it runs', () => {
    advance(5_000, true);
    expect(watch.mayHaveBacklog).toBe(false);
  });

  // Guards against orders that are read before the first tick.
  it('should have one right after it goes on, and for a while', () => {
    advance(4_000, false);
    expect(watch.mayHaveBacklog).toBe(true);
    advance(900, true);
    expect(watch.mayHaveBacklog).toBe(true);
    advance(200, true);
    expect(watch.mayHaveBacklog).toBe(false);
  });

  // The steady clock stops while the machine is suspended.
  it('should have one after its machine was suspended', () => {
    advance(1_000, true);
    wallMs += 4_000;
    expect(watch.mayHaveBacklog).toBe(true);
  });

  it('should not count a short pause', () => {
    advance(1_000, true);
    advance(400, false);
    expect(watch.mayHaveBacklog).toBe(false);
  });
});
