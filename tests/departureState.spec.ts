import {ControlState} from '../src/control/state/controlState';
import type {Departure} from '../src/control/state/departureState';
import {TargetTable} from '../src/cluster/targetTable';
import {targetRecord} from './fixtures/targetRecord';

const GONE: Departure = {targetId: 't', bornMs: 1, state: 'gone', sequence: 3};
const DRAINING: Departure = {...GONE, state: 'draining'};

function stateWith(...departures: readonly Departure[]): ControlState {
  const state = new ControlState();
  for (const [i, departure] of departures.entries())
    state.apply({kind: 'departure', ...departure}, i);
  return state;
}

/** The table of a new leader that has this log. */
function tableOf(state: ControlState): TargetTable {
  return new TargetTable(({id, bornMs}) => state.departures.find(id, bornMs));
}

describe('departures in the log', () => {
  // The leader acknowledged the departure, and its process ended before any other node
  // had heard of it.
  it.each(['ready', 'draining', 'silent'] as const)(
    'should keep a boot gone whatever is announced of it: %s',
    state => {
      const table = tableOf(stateWith(GONE));
      table.merge(targetRecord({state, sequence: 9}), 0);
      expect(table.find('t')?.state).toBe('gone');
      table.mergeShared(targetRecord({state, sequence: 10}), 1);
      expect(table.find('t')?.state).toBe('gone');
    }
  );

  it('should keep a boot draining after an earlier announcement', () => {
    const table = tableOf(stateWith(DRAINING));
    table.merge(targetRecord({sequence: 2}), 0);
    expect(table.find('t')?.state).toBe('draining');
  });

  it('should apply to a record that is known, with a new revision', () => {
    const state = new ControlState();
    const table = tableOf(state);
    table.merge(targetRecord(), 0);
    const {revision} = table;
    state.apply({kind: 'departure', ...GONE}, 1);
    table.applyDeparture('t', 1);
    expect(table.changedSince(revision)).toMatchObject([{state: 'gone'}]);
  });

  // A leader that restarted has no record of the target, by which others learn of it.
  it('should apply to the records of other nodes', () => {
    const table = new TargetTable();
    table.merge(targetRecord({bornMs: 1}), 0);
    table.depart({...GONE, bornMs: 0}, 1);
    expect(table.find('t')?.state).toBe('ready');
    table.depart(GONE, 1);
    expect(table.find('t')?.state).toBe('gone');
  });

  it('should leave the next boot alone', () => {
    const table = tableOf(stateWith(GONE));
    table.merge(targetRecord({bornMs: 2}), 0);
    expect(table.find('t')?.state).toBe('ready');
  });

  // A boot that claimed a later start hid the departures of the others.
  it.each([
    ['an earlier boot', 0],
    ['a later boot', 2],
  ])('should be kept beside that of %s', (_name, bornMs) => {
    const other: Departure = {...GONE, bornMs};
    const {departures} = stateWith(GONE, other);
    expect(departures.find('t', 1)).toEqual(GONE);
    expect(departures.find('t', bornMs)).toEqual(other);
  });

  it.each([
    ['an earlier state', DRAINING],
    ['itself', GONE],
  ])('should hold against %s', (_name, departure) => {
    const {departures} = stateWith(GONE);
    expect(departures.holds({kind: 'departure', ...departure})).toBe(true);
    expect(departures.find('t', 1)).toEqual(GONE);
  });

  it('should outlast a snapshot', () => {
    const restored = new ControlState();
    restored.restore(stateWith(GONE).snapshot());
    expect(restored.departures.find('t', 1)).toEqual(GONE);
  });

  // Guards against a state that grows with each target that ever left.
  it('should be bounded, and lose the oldest first', () => {
    const state = stateWith(
      ...Array.from({length: 5_000}, (_, i) => ({...GONE, targetId: `t${i}`}))
    );
    expect(state.departures.snapshot().length).toBeLessThan(5_000);
    expect(state.departures.find('t0', 1)).toBeUndefined();
    expect(state.departures.find('t4999', 1)).toBeDefined();
  });
});
