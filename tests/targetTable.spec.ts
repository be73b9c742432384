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

describe('target table', () => {
  it('should ignore a late announcement of the same boot', () => {
    const table = new TargetTable();
    table.merge(record({sequence: 5, state: 'draining'}), 0);
    expect(table.merge(record({sequence: 4}), 1)).toBe(false);
    expect(table.find('i-1')?.state).toBe('draining');
  });

  // A network cut delays an announcement. Its sender has crashed meanwhile, and
  // another target has started at the same address: requests must not go there
  // as if it were the first.
  it('should keep an address for the latest boot', () => {
    const table = new TargetTable();
    table.merge(record(), 0);
    table.merge(record({id: 'i-2', bornMs: 2_000, service: 'plain'}), 1);
    expect(table.find('i-1')?.state).toBe('gone');
    expect(table.merge(record({sequence: 9}), 2)).toBe(false);
  });

  it('should accept a new boot of an id that left', () => {
    const table = new TargetTable();
    table.merge(record(), 0);
    table.leave('i-1', 1);
    expect(table.merge(record({sequence: 7}), 2)).toBe(false);
    expect(table.merge(record({bornMs: 3_000}), 3)).toBe(true);
    expect(table.find('i-1')?.state).toBe('ready');
  });

  it('should mark a target silent until it announces itself again', () => {
    const table = new TargetTable();
    table.merge(record(), 0);
    table.expire(4_000, 4_200);
    expect(table.find('i-1')?.state).toBe('ready');
    table.expire(4_200, 4_200);
    expect(table.find('i-1')?.state).toBe('silent');
    table.merge(record({sequence: 2}), 5_000);
    expect(table.find('i-1')?.state).toBe('ready');
  });

  it('should increase the revision only for changes that matter to others', () => {
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
