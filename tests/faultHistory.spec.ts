import {check} from '../bench/faults/check';
import type {
  Accepted,
  CallResult,
  Disturbed,
  FaultEvent,
  Ran,
  Sent,
} from '../bench/faults/history';

const WHOLE = {kind: 'whole', body: '1'} as const;
const NOT_RUN = {
  kind: 'refused',
  reason: 'no-target',
  outcome: 'not run',
} as const;
const LOST = {kind: 'broken', detail: 'stream-cut'} as const;
const IN_PROGRESS = {
  kind: 'refused',
  reason: 'in-progress',
  outcome: 'outcome unknown',
} as const;

function sent(callId: string, change: Partial<Sent> = {}): Sent {
  const entry = 'entry-0';
  return {kind: 'sent', atMs: 0, callId, call: 'whole', entry, ...change};
}

function answered(callId: string, result: CallResult, atMs = 100): FaultEvent {
  return {kind: 'answered', atMs, callId, result};
}

function ran(callId: string, change: Partial<Ran> = {}): Ran {
  const target = 'planner-0';
  const availabilityZone = 'zone-a';
  return {kind: 'ran', atMs: 50, target, availabilityZone, callId, ...change};
}

function accepted(
  revision: number,
  atMs: number,
  zonesOut: readonly string[] = [],
  text = `revision ${revision}`
): Accepted {
  const sentAtMs = atMs;
  return {kind: 'accepted', sentAtMs, atMs, revision, text, zonesOut};
}

function disturbed(
  fault: Disturbed['fault'],
  processes: readonly string[],
  fromMs: number,
  toMs: number
): Disturbed {
  return {kind: 'disturbed', fault, processes, fromMs, toMs};
}

function inForce(process: string, atMs: number, revision: number): FaultEvent {
  return {kind: 'in force', process, atMs, revision};
}

function settled(
  revision: number,
  missing: readonly string[] = []
): FaultEvent {
  const text = `revision ${revision}`;
  return {kind: 'settled', sinceMs: 0, atMs: 900, missing, revision, text};
}

const LEAVING = {
  kind: 'leaving',
  atMs: 1_000,
  process: 'agent-planner-0',
} as const;
const KEYED = {call: 'once', key: 'k'} as const;

const BROKEN: readonly (readonly [string, string, readonly FaultEvent[]])[] = [
  [
    'a run after its refusal',
    'not run',
    [sent('a'), answered('a', NOT_RUN), ran('a', {atMs: 5_000})],
  ],
  [
    'two runs under one key',
    'at most once',
    [
      sent('a', KEYED),
      sent('b', KEYED),
      ran('a', {key: 'k'}),
      ran('b', {key: 'k', target: 'planner-1'}),
    ],
  ],
  [
    'a target that fell over',
    'cold start',
    [{kind: 'fell over', atMs: 5, target: 'planner-0'}],
  ],
  [
    'new work in a zone that stays out over another file',
    'zone out',
    [
      accepted(1, 1_000, ['zone-a']),
      accepted(2, 3_500, ['zone-a']),
      ran('a', {atMs: 4_100}),
    ],
  ],
  [
    'new work at a target that leaves',
    'leaving target',
    [LEAVING, ran('a', {atMs: 2_100})],
  ],
  [
    'an answer that is not the own one',
    'whole answers',
    [sent('a'), answered('a', {kind: 'wrong', detail: 'another body'})],
  ],
  [
    'two different answers under one key',
    'whole answers',
    [
      sent('a', KEYED),
      sent('b', KEYED),
      answered('a', {kind: 'whole', body: '1'}),
      answered('b', {kind: 'whole', body: '2'}),
    ],
  ],
  [
    'a loss beside a fault of another pool',
    'whole answers',
    [
      sent('a', {call: 'stream'}),
      disturbed('stopped', ['fake-allocation-0'], 0, 50),
      answered('a', LOST),
    ],
  ],
  [
    'a loss long after the fault',
    'whole answers',
    [
      disturbed('frozen', ['entry-0'], 0, 50),
      sent('a', {atMs: 1_100}),
      answered('a', {kind: 'silent'}, 20_000),
    ],
  ],
  [
    'a loss during a graceful end alone',
    'graceful shutdown',
    [LEAVING, sent('a', {atMs: 900}), answered('a', LOST, 1_100)],
  ],
  [
    'a graceful end with a bad code',
    'graceful shutdown',
    [{kind: 'left', atMs: 5, process: 'entry-0', code: 1}],
  ],
  [
    'a lower revision after a restart',
    'never reverts',
    [inForce('entry-0', 10, 7), inForce('entry-0', 20, 6)],
  ],
  [
    'two files under one number',
    'never reverts',
    [accepted(3, 10), accepted(3, 11, [], 'another')],
  ],
  [
    'an accepted file that is gone',
    'never reverts',
    [accepted(3, 10), settled(2)],
  ],
  [
    'another text than the accepted one',
    'never reverts',
    [accepted(3, 10, [], 'another'), settled(3)],
  ],
  ['a system that stays broken', 'heals', [settled(3, ['entry-0 serves'])]],
];

const ALLOWED: readonly (readonly [string, readonly FaultEvent[]])[] = [
  [
    'an answer and a run',
    [sent('a'), ran('a'), answered('a', WHOLE), settled(0)],
  ],
  [
    'a run of one sending when another was refused',
    [
      sent('a', KEYED),
      sent('b', KEYED),
      answered('a', NOT_RUN),
      ran('b', {key: 'k'}),
      answered('b', WHOLE),
      answered('a', IN_PROGRESS),
    ],
  ],
  [
    'the same read twice',
    [sent('a'), ran('a'), ran('a', {target: 'planner-1'})],
  ],
  [
    'work in a zone within the bound, and after its return was sent',
    [
      accepted(1, 1_000, ['zone-a']),
      ran('a', {atMs: 3_900}),
      accepted(2, 6_000),
      ran('b', {atMs: 6_001}),
    ],
  ],
  [
    'what a frozen target reads when it wakes',
    [
      accepted(1, 1_000, ['zone-a']),
      disturbed('frozen', ['fake-planner-0'], 1_500, 5_000),
      ran('a', {atMs: 5_010}),
    ],
  ],
  [
    'work at a target whose agent hears the signal late, and after its return',
    [
      LEAVING,
      disturbed('frozen', ['agent-planner-0'], 500, 3_000),
      ran('a', {atMs: 3_900}),
      {kind: 'started', atMs: 5_000, process: 'agent-planner-0'},
      ran('b', {atMs: 9_000}),
    ],
  ],
  [
    'a loss by a fault on the way',
    [
      sent('a', {call: 'stream'}),
      disturbed('cut', ['entry-0', 'agent-planner-0'], 0, 50),
      answered('a', LOST),
    ],
  ],
  [
    'a resend that hears of the loss of the first sending',
    [
      sent('a', KEYED),
      disturbed('stopped', ['agent-allocation-0'], 0, 50),
      sent('b', {...KEYED, atMs: 5_000}),
      answered('b', {...IN_PROGRESS, reason: 'outcome-unknown'}, 5_100),
    ],
  ],
  [
    'a killed process that was told to end before',
    [
      {kind: 'left', atMs: 50, process: 'entry-0', code: null},
      disturbed('stopped', ['entry-0'], 40, 90),
    ],
  ],
  [
    'a later file than the last that was answered',
    [accepted(3, 10), inForce('entry-0', 5, 3), settled(4)],
  ],
];

describe('check of a history of faults', () => {
  it.each(BROKEN)('should catch %s', (_name, promise, history) => {
    expect(check(history).map(one => one.promise)).toEqual([promise]);
  });

  it.each(ALLOWED)('should allow %s', (_name, history) => {
    expect(check(history)).toEqual([]);
  });
});
