import {findViolations} from '../bench/faults/findViolations';
import type {
  Accepted,
  CallResult,
  FaultInterval,
  FaultEvent,
  Ran,
  Sent,
} from '../bench/faults/history';

const WHOLE_RESPONSE = {kind: 'whole', body: '1'} as const;
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
  fault: FaultInterval['fault'],
  processes: readonly string[],
  fromMs: number,
  toMs: number
): FaultInterval {
  return {kind: 'disturbed', fault, processes, fromMs, toMs};
}

function applied(process: string, atMs: number, revision: number): FaultEvent {
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

const VIOLATIONS: readonly (readonly [
  string,
  string,
  readonly FaultEvent[],
])[] = [
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
    'a target that crashed under load',
    'cold start',
    [{kind: 'fell over', atMs: 5, target: 'planner-0'}],
  ],
  [
    'new work in a zone that stays out across two rule files',
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
    'a response to another call',
    'whole answers',
    [sent('a'), answered('a', {kind: 'wrong', detail: 'another body'})],
  ],
  [
    'two different responses under one key',
    'whole answers',
    [
      sent('a', KEYED),
      sent('b', KEYED),
      answered('a', {kind: 'whole', body: '1'}),
      answered('b', {kind: 'whole', body: '2'}),
    ],
  ],
  [
    'a lost stream during a fault of another pool',
    'whole answers',
    [
      sent('a', {call: 'stream'}),
      disturbed('stopped', ['fake-allocation-0'], 0, 50),
      answered('a', LOST),
    ],
  ],
  [
    'a lost call long after the fault',
    'whole answers',
    [
      disturbed('frozen', ['entry-0'], 0, 50),
      sent('a', {atMs: 1_100}),
      answered('a', {kind: 'silent'}, 20_000),
    ],
  ],
  [
    'a lost call during a graceful shutdown without other faults',
    'graceful shutdown',
    [LEAVING, sent('a', {atMs: 900}), answered('a', LOST, 1_100)],
  ],
  [
    'a graceful shutdown with an exit code other than 0',
    'graceful shutdown',
    [{kind: 'left', atMs: 5, process: 'entry-0', code: 1}],
  ],
  [
    'a lower revision after a restart',
    'never reverts',
    [applied('entry-0', 10, 7), applied('entry-0', 20, 6)],
  ],
  [
    'two rule files under one revision',
    'never reverts',
    [accepted(3, 10), accepted(3, 11, [], 'another')],
  ],
  [
    'an accepted rule file that is lost',
    'never reverts',
    [accepted(3, 10), settled(2)],
  ],
  [
    'a rule text that differs from the accepted one',
    'never reverts',
    [accepted(3, 10, [], 'another'), settled(3)],
  ],
  ['a system that stays broken', 'heals', [settled(3, ['entry-0 serves'])]],
];

const ALLOWED: readonly (readonly [string, readonly FaultEvent[]])[] = [
  [
    'a response and one run',
    [sent('a'), ran('a'), answered('a', WHOLE_RESPONSE), settled(0)],
  ],
  [
    'a run of one submission when another was refused',
    [
      sent('a', KEYED),
      sent('b', KEYED),
      answered('a', NOT_RUN),
      ran('b', {key: 'k'}),
      answered('b', WHOLE_RESPONSE),
      answered('a', IN_PROGRESS),
    ],
  ],
  [
    'two runs of the same read',
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
    'work that a frozen target receives when it resumes',
    [
      accepted(1, 1_000, ['zone-a']),
      disturbed('frozen', ['fake-planner-0'], 1_500, 5_000),
      ran('a', {atMs: 5_010}),
    ],
  ],
  [
    'work at a target whose agent receives the signal late, and after its restart',
    [
      LEAVING,
      disturbed('frozen', ['agent-planner-0'], 500, 3_000),
      ran('a', {atMs: 3_900}),
      {kind: 'started', atMs: 5_000, process: 'agent-planner-0'},
      ran('b', {atMs: 9_000}),
    ],
  ],
  [
    'a lost stream during a fault between entry and agent',
    [
      sent('a', {call: 'stream'}),
      disturbed('cut', ['entry-0', 'agent-planner-0'], 0, 50),
      answered('a', LOST),
    ],
  ],
  [
    'a second submission that reports the lost first one',
    [
      sent('a', KEYED),
      disturbed('stopped', ['agent-allocation-0'], 0, 50),
      sent('b', {...KEYED, atMs: 5_000}),
      answered('b', {...IN_PROGRESS, reason: 'outcome-unknown'}, 5_100),
    ],
  ],
  [
    'a killed process that was asked to shut down before',
    [
      {kind: 'left', atMs: 50, process: 'entry-0', code: null},
      disturbed('stopped', ['entry-0'], 40, 90),
    ],
  ],
  [
    'a later rule file than the last acknowledged one',
    [accepted(3, 10), applied('entry-0', 5, 3), settled(4)],
  ],
];

describe('check of a fault history', () => {
  it.each(VIOLATIONS)('should report %s', (_name, promise, history) => {
    expect(findViolations(history).map(one => one.promise)).toEqual([promise]);
  });

  it.each(ALLOWED)('should allow %s', (_name, history) => {
    expect(findViolations(history)).toEqual([]);
  });
});
