import {
  noSiteRetryMs,
  outageRetryMs,
} from '../src/policy/admission/outageRetry';
import {StallDetector} from '../src/policy/stallDetector';
import type {TargetRecord} from '../src/site/announcement';
import {groupStatuses, isInOpenGroup} from '../src/site/groupStatus';

function rank(
  index: number,
  epoch: number,
  open: boolean,
  state: TargetRecord['state'] = 'ready'
): TargetRecord {
  return {
    id: `t${index}`,
    bornMs: 1,
    sequence: 1,
    service: 's',
    address: `10.0.0.${index}:1`,
    availabilityZone: 'a',
    slots: 8,
    state,
    coldMs: 0,
    group: {name: 'g', epoch, rank: index, size: 3, open},
  };
}

describe('outage of a group of ranks', () => {
  // One rank is lost, and the first of the others reports the group as broken.
  // Requests to ranks that have not reported yet would wait for the lost one for a
  // second and a half before they fail.
  it('should consider the whole group broken when one rank reports it', () => {
    const records = [rank(0, 1, true), rank(1, 1, false), rank(2, 1, true)];
    const openings = groupStatuses(records);
    expect(records.some(one => isInOpenGroup(one, openings))).toBe(false);
  });

  // The group has formed again, and one rank has reported it. Until all ranks have,
  // callers would wait for up to another heartbeat.
  it('should consider the whole group open when one rank reports its new epoch', () => {
    const records = [rank(0, 1, false), rank(1, 2, true), rank(2, 1, false)];
    const openings = groupStatuses(records);
    expect(records.every(one => isInOpenGroup(one, openings))).toBe(true);
  });

  it('should ignore a rank that is gone', () => {
    const records = [rank(0, 5, true, 'gone'), rank(1, 1, false)];
    expect(groupStatuses(records).get('g')).toEqual({epoch: 1, isOpen: false});
  });

  it('should consider targets without a group open', () => {
    const alone = {...rank(0, 1, false), group: undefined};
    expect(isInOpenGroup(alone, groupStatuses([alone]))).toBe(true);
  });
});

describe('Retry-After in an outage', () => {
  // An outage lasts two to four seconds. Callers wait at most a third of their
  // remaining time: longer values would be cut to that, and all callers would retry
  // at the same moment.
  it('should be late, spread and within a third of the remaining time', () => {
    for (const random of [0, 0.5, 0.999]) {
      const ms = outageRetryMs(8_000, () => random);
      expect(ms).toBeGreaterThanOrEqual(1_500);
      expect(ms).toBeLessThanOrEqual(8_000 / 3);
    }
    const spread =
      outageRetryMs(8_000, () => 0.999) - outageRetryMs(8_000, () => 0);
    expect(spread).toBeGreaterThan(500);
  });

  it('should stay within a third of a short remaining time', () => {
    expect(outageRetryMs(1_200, () => 0.999)).toBeLessThanOrEqual(400);
    expect(outageRetryMs(-5, () => 0.5)).toBe(0);
  });
});

describe('detection of a stalled group', () => {
  function streaming(streams: number): StallDetector {
    const watch = new StallDetector();
    for (let i = 0; i < streams; i++) watch.streamStarted();
    watch.noteEvent(1_000);
    return watch;
  }

  // All streams of a node fall silent together when their group waits for a lost
  // rank. A map switch holds passes for only a tenth of a second.
  it('should detect a stall once all streams have been silent', () => {
    const watch = streaming(3);
    expect(watch.isStalled(1_300)).toBe(false);
    expect(watch.isStalled(1_700)).toBe(true);
    watch.noteEvent(1_750);
    expect(watch.isStalled(1_800)).toBe(false);
  });

  it('should ignore a single silent stream', () => {
    expect(streaming(1).isStalled(9_000)).toBe(false);
  });

  it('should detect no stall once the streams have ended', () => {
    const watch = streaming(2);
    watch.streamEnded();
    watch.streamEnded();
    expect(watch.isStalled(9_000)).toBe(false);
  });
});

describe('Retry-After of a node without a site', () => {
  // After a power loss, a caller that retries half a second later finds no leader
  // yet and is refused for good.
  it('should be late while no leader is known, and early otherwise', () => {
    expect(noSiteRetryMs(false, 8_000, () => 0)).toBeGreaterThan(1_500);
    expect(noSiteRetryMs(false, Infinity, () => 0.5)).toBeLessThan(2_700);
    expect(noSiteRetryMs(true, 8_000, () => 0)).toBe(500);
  });
});
