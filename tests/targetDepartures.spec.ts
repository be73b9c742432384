import {TargetDepartures} from '../src/cluster/targetDepartures';
import {TargetTable} from '../src/cluster/targetTable';
import {targetRecord} from './fixtures/targetRecord';

const TARGET = {id: 't', bornMs: 1};
const NEXT = {id: 't', bornMs: 2};

describe('departures of targets', () => {
  it('should be new once', () => {
    const departures = new TargetDepartures();
    expect(departures.add(TARGET, 0)).toBe(true);
    expect(departures.add(TARGET, 10)).toBe(false);
    expect(departures.ids()).toEqual(['t']);
  });

  // Guards against a successor at the same address, or of the same id, that nobody
  // sends to.
  it('should not be inherited by the next boot', () => {
    const departures = new TargetDepartures();
    departures.add(TARGET, 0);
    expect(departures.has(NEXT)).toBe(false);
  });

  // Guards against an announcement that was under way for long and brings the target
  // back after its record was dropped.
  it('should outlast the record of the target', () => {
    const departures = new TargetDepartures();
    departures.add(TARGET, 0);
    departures.evict(new TargetTable(), 120_000);
    expect(departures.has(TARGET)).toBe(true);
    departures.evict(new TargetTable(), 301_000);
    expect(departures.has(TARGET)).toBe(false);
  });

  it('should be forgotten with the next boot', () => {
    const departures = new TargetDepartures();
    const table = new TargetTable();
    table.merge(targetRecord(), 0);
    departures.add(TARGET, 0);
    departures.evict(table, 10);
    expect(departures.ids()).toEqual(['t']);
    table.merge(targetRecord({bornMs: 2}), 20);
    departures.evict(table, 30);
    expect(departures.ids()).toEqual([]);
  });
});
