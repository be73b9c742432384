import {noSiteRetryMs, outageRetryMs} from '../src/policy/outageRetry';
import {StallWatch} from '../src/policy/stallWatch';
import type {TargetRecord} from '../src/site/announcement';
import {groupOpenings, isInOpenGroup} from '../src/site/groupOpenings';

function rank(
  place: number,
  epoch: number,
  open: boolean,
  state: TargetRecord['state'] = 'ready'
): TargetRecord {
  return {
    id: `t${place}`,
    bornMs: 1,
    sequence: 1,
    service: 's',
    address: `10.0.0.${place}:1`,
    availabilityZone: 'a',
    slots: 8,
    state,
    coldMs: 0,
    group: {name: 'g', epoch, rank: place, size: 3, open},
  };
}

describe('outage of a group of ranks', () => {
  // One rank is lost. The first of the others tells that the group is broken;
  // requests sent to those that have not told yet would wait for the lost one
  // for a second and a half, and then come back.
  it('should take the whole group for broken when one rank says so', () => {
    const records = [rank(0, 1, true), rank(1, 1, false), rank(2, 1, true)];
    const openings = groupOpenings(records);
    expect(records.some(one => isInOpenGroup(one, openings))).toBe(false);
  });

  // The group has formed anew, and one rank has told so. Its callers would wait
  // for up to another heartbeat until all ranks have.
  it('should take the whole group for open when one rank tells of its new life', () => {
    const records = [rank(0, 1, false), rank(1, 2, true), rank(2, 1, false)];
    const openings = groupOpenings(records);
    expect(records.every(one => isInOpenGroup(one, openings))).toBe(true);
  });

  it('should not go by a rank that is gone', () => {
    const records = [rank(0, 5, true, 'gone'), rank(1, 1, false)];
    expect(groupOpenings(records).get('g')).toEqual({epoch: 1, isOpen: false});
  });

  it('should take targets that work alone as open', () => {
    const alone = {...rank(0, 1, false), group: undefined};
    expect(isInOpenGroup(alone, groupOpenings([alone]))).toBe(true);
  });
});

describe('return after an outage', () => {
  // An outage lasts two to four seconds. Callers wait for a third of their time
  // at most: later words are cut to that, and all would come at one moment.
  it('should call callers back late, spread, within a third of their time', () => {
    for (const random of [0, 0.5, 0.999]) {
      const ms = outageRetryMs(8_000, () => random);
      expect(ms).toBeGreaterThanOrEqual(1_500);
      expect(ms).toBeLessThanOrEqual(8_000 / 3);
    }
    const spread =
      outageRetryMs(8_000, () => 0.999) - outageRetryMs(8_000, () => 0);
    expect(spread).toBeGreaterThan(500);
  });

  it('should keep to a third of a short time', () => {
    expect(outageRetryMs(1_200, () => 0.999)).toBeLessThanOrEqual(400);
    expect(outageRetryMs(-5, () => 0.5)).toBe(0);
  });
});

describe('watch for a group that stands still', () => {
  function streaming(streams: number): StallWatch {
    const watch = new StallWatch();
    for (let i = 0; i < streams; i++) watch.opened();
    watch.noteEvent(1_000);
    return watch;
  }

  // All streams of a node fall silent together: their group waits for a rank
  // that is lost. A switch of maps holds it for a tenth of a second only.
  it('should tell once all streams have been silent', () => {
    const watch = streaming(3);
    expect(watch.isStalled(1_300)).toBe(false);
    expect(watch.isStalled(1_700)).toBe(true);
    watch.noteEvent(1_750);
    expect(watch.isStalled(1_800)).toBe(false);
  });

  it('should not go by a single stream', () => {
    expect(streaming(1).isStalled(9_000)).toBe(false);
  });

  it('should tell nothing when the streams have ended', () => {
    const watch = streaming(2);
    watch.closed();
    watch.closed();
    expect(watch.isStalled(9_000)).toBe(false);
  });
});

describe('return to a node without a site', () => {
  // All power was lost. Who comes back half a second later finds no leader yet,
  // and is rejected for good.
  it('should be late while no leader is known, and soon otherwise', () => {
    expect(noSiteRetryMs(false, 8_000, () => 0)).toBeGreaterThan(1_500);
    expect(noSiteRetryMs(false, Infinity, () => 0.5)).toBeLessThan(2_700);
    expect(noSiteRetryMs(true, 8_000, () => 0)).toBe(500);
  });
});
