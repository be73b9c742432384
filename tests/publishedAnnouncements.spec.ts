import {MemberTable} from '../src/control/memberTable';
import type {Announcement, PollRequest} from '../src/core/wire';
import {SAMPLE_ANNOUNCEMENT} from './fixtures/sampleAnnouncement';

function poll(change: Partial<Announcement>): PollRequest {
  return {
    processId: 'agent-0',
    role: 'agent',
    bootId: 'process-1',
    heldRevision: 1,
    availabilityZone: 'zone-a',
    announcement: {...SAMPLE_ANNOUNCEMENT, ...change},
  };
}

/** A table that received one announcement at time 0, and its version then. */
function afterFirstPoll() {
  const table = new MemberTable();
  table.handlePoll(poll({}), 0);
  return {table, version: table.changesSince(undefined).version};
}

describe('announcements published to entries', () => {
  it('should publish nothing when only sequence number and load age grew', () => {
    const {table, version} = afterFirstPoll();
    table.handlePoll(poll({seq: 2, loadAgeMs: 80}), 10_000);
    expect(table.changesSince(version)).toMatchObject({version, changed: []});
  });

  it.each([
    ['a target that leaves', {state: 'leaving'}],
    ['a target that turned cold', {temperature: 'cold'}],
    ['a target with a limit of 0', {limit: 0}],
    ['a new boot', {agentBootId: 'boot-2', agentBootAtMs: 2}],
  ] as const)('should publish %s at once', (_, change) => {
    const {table, version} = afterFirstPoll();
    table.handlePoll(poll({seq: 2, ...change}), 1);
    expect(table.changesSince(version).changed).toMatchObject([change]);
  });

  it('should publish a large change of load after 1 s, a small one after 5 s', () => {
    // An entry would treat a busy target as idle: the load changes within a
    // second after the last published announcement and then stays the same, so
    // no later change would publish it.
    const {table, version} = afterFirstPoll();
    table.handlePoll(poll({seq: 2, outstanding: 9}), 500);
    expect(table.changesSince(version).changed).toEqual([]);
    table.handlePoll(poll({seq: 3, outstanding: 9}), 1_000);
    expect(table.changesSince(version).changed).toMatchObject([
      {outstanding: 9},
    ]);
    const publishedVersion = table.changesSince(undefined).version;
    table.handlePoll(poll({seq: 4, outstanding: 8}), 5_000);
    expect(table.changesSince(publishedVersion).changed).toEqual([]);
    table.handlePoll(poll({seq: 5, outstanding: 8}), 6_000);
    expect(table.changesSince(publishedVersion).changed).toMatchObject([
      {outstanding: 8},
    ]);
  });

  it.each([
    ['a few tokens', {tokensInWork: 200}, []],
    ['many tokens', {tokensInWork: 300}, [{tokensInWork: 300}]],
    ['less than a sixteenth of the limit', {limit: 16.9}, []],
    ['a sixteenth of the limit', {outstanding: 1}, [{outstanding: 1}]],
  ])(
    'should publish a change of %s only above the threshold',
    (_, change, expected) => {
      const {table, version} = afterFirstPoll();
      table.handlePoll(poll({seq: 2, ...change}), 60_000);
      expect(table.changesSince(version).changed).toMatchObject(expected);
    }
  );

  it('should publish whether a target is warm, but not its progress', () => {
    const {table} = afterFirstPoll();
    table.handlePoll(poll({seq: 2, temperature: 'cold'}), 1);
    const {version} = table.changesSince(undefined);
    table.handlePoll(poll({seq: 3, temperature: 'warming'}), 60_000);
    expect(table.changesSince(version).changed).toEqual([]);
    table.handlePoll(poll({seq: 4, temperature: 'warm'}), 60_001);
    expect(table.changesSince(version).changed).toHaveLength(1);
  });

  it('should send a new entry the same announcements as other entries hold', () => {
    // Two entries are at the same version. A return to the old load is not a
    // change, so an entry that was sent a load in between would keep it for
    // good.
    const {table} = afterFirstPoll();
    table.handlePoll(poll({seq: 2, outstanding: 3}), 500);
    expect(table.changesSince(undefined).changed).toMatchObject([
      {outstanding: 0},
    ]);
  });
});
