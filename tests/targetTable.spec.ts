import {TargetTable} from '../src/cluster/targetTable';
import type {TargetRecord} from '../src/site/announcement';

function record(change: Partial<TargetRecord> = {}): TargetRecord {
  return {
    id: 'i-1',
    bornMs: 1_000,
    sequence: 1,
    service: 'chat',
    address: '10.0.0.1:80',
    availabilityZone: 'a',
    slots: 8,
    state: 'ready',
    coldMs: 0,
    ...change,
  };
}

describe('table of targets', () => {
  it('should let a late announcement of the same life change nothing', () => {
    const table = new TargetTable();
    table.merge(record({sequence: 5, state: 'draining'}), 0);
    expect(table.merge(record({sequence: 4}), 1)).toBe(false);
    expect(table.find('i-1')?.state).toBe('draining');
  });

  // An announcement was held up by a cut. Its sender has crashed meanwhile, and
  // another target has begun at the same address: requests must not go there
  // as if it were the first.
  it('should keep an address for the life that began last', () => {
    const table = new TargetTable();
    table.merge(record(), 0);
    table.merge(record({id: 'i-2', bornMs: 2_000, service: 'plain'}), 1);
    expect(table.find('i-1')?.state).toBe('gone');
    expect(table.merge(record({sequence: 9}), 2)).toBe(false);
  });

  it('should take a new life under an id that left', () => {
    const table = new TargetTable();
    table.merge(record(), 0);
    table.leave('i-1', 1);
    expect(table.merge(record({sequence: 7}), 2)).toBe(false);
    expect(table.merge(record({bornMs: 3_000}), 3)).toBe(true);
    expect(table.find('i-1')?.state).toBe('ready');
  });

  it('should mark a target silent that told nothing, until it tells again', () => {
    const table = new TargetTable();
    table.merge(record(), 0);
    table.expire(4_000, 4_200);
    expect(table.find('i-1')?.state).toBe('ready');
    table.expire(4_200, 4_200);
    expect(table.find('i-1')?.state).toBe('silent');
    table.merge(record({sequence: 2}), 5_000);
    expect(table.find('i-1')?.state).toBe('ready');
  });

  it('should number changes, and only those that matter to others', () => {
    const table = new TargetTable();
    table.merge(record(), 0);
    const {revision} = table;
    table.merge(record({sequence: 2}), 1);
    expect(table.revision).toBe(revision);
    table.merge(record({sequence: 3, state: 'draining'}), 2);
    expect(table.changedSince(revision).map(({state}) => state)).toEqual([
      'draining',
    ]);
  });
});
