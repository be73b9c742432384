import {MemberTable} from '../src/control/memberTable';
import type {Announcement, PollRequest} from '../src/core/wire';
import {ANNOUNCED} from './fixtures/announced';

function poll(change: Partial<Announcement>): PollRequest {
  return {
    processId: 'agent-0',
    role: 'agent',
    bootId: 'process-1',
    heldRevision: 1,
    availabilityZone: 'zone-a',
    announcement: {...ANNOUNCED, ...change},
  };
}

/** A table that heard one announcement at time 0, and its version then. */
function heardOnce() {
  const table = new MemberTable();
  table.heard(poll({}), 0);
  return {table, version: table.changesSince(undefined).version};
}

describe('membership told to entries', () => {
  it('should tell nothing when only the sequence number grew', () => {
    const {table, version} = heardOnce();
    table.heard(poll({seq: 2, loadAgeMs: 80}), 10_000);
    expect(table.changesSince(version)).toMatchObject({version, changed: []});
  });

  it.each([
    ['a target that leaves', {state: 'leaving'}],
    ['a target that turned cold', {temperature: 'cold'}],
    ['a target that may take nothing', {limit: 0}],
    ['a new boot', {agentBootId: 'boot-2', agentBootAtMs: 2}],
  ] as const)('should tell of %s at once', (_, change) => {
    const {table, version} = heardOnce();
    table.heard(poll({seq: 2, ...change}), 1);
    expect(table.changesSince(version).changed).toMatchObject([change]);
  });

  it('should tell of a large change of load after a second, of a small one after five', () => {
    // An entry would see an idle target that is in truth busy: the change
    // comes within the first second after the last one told, and then the
    // load stays as it is, so that no later change would carry it.
    const {table, version} = heardOnce();
    table.heard(poll({seq: 2, outstanding: 9}), 500);
    expect(table.changesSince(version).changed).toEqual([]);
    table.heard(poll({seq: 3, outstanding: 9}), 1_000);
    expect(table.changesSince(version).changed).toMatchObject([
      {outstanding: 9},
    ]);
    const told = table.changesSince(undefined).version;
    table.heard(poll({seq: 4, outstanding: 8}), 5_000);
    expect(table.changesSince(told).changed).toEqual([]);
    table.heard(poll({seq: 5, outstanding: 8}), 6_000);
    expect(table.changesSince(told).changed).toMatchObject([{outstanding: 8}]);
  });

  it.each([
    ['a few tokens', {tokensInWork: 200}, []],
    ['many tokens', {tokensInWork: 300}, [{tokensInWork: 300}]],
    ['less than a sixteenth of the limit', {limit: 16.9}, []],
    ['a sixteenth of the limit', {outstanding: 1}, [{outstanding: 1}]],
  ])('should weigh a change of %s, however old', (_, change, told) => {
    const {table, version} = heardOnce();
    table.heard(poll({seq: 2, ...change}), 60_000);
    expect(table.changesSince(version).changed).toMatchObject(told);
  });

  it('should tell of a target being warm, not of how far it is from it', () => {
    const {table} = heardOnce();
    table.heard(poll({seq: 2, temperature: 'cold'}), 1);
    const {version} = table.changesSince(undefined);
    table.heard(poll({seq: 3, temperature: 'warming'}), 60_000);
    expect(table.changesSince(version).changed).toEqual([]);
    table.heard(poll({seq: 4, temperature: 'warm'}), 60_001);
    expect(table.changesSince(version).changed).toHaveLength(1);
  });

  it('should tell an entry that asks for everything what the others hold', () => {
    // Two entries at one version; a return to the old load is no change, so
    // one that had been given a load in between would keep it for good.
    const {table} = heardOnce();
    table.heard(poll({seq: 2, outstanding: 3}), 500);
    expect(table.changesSince(undefined).changed).toMatchObject([
      {outstanding: 0},
    ]);
  });
});
