import {writeFileSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {runCheck} from '../src/cli/checkCommand';
import type {ClusterStatus, ControlClient} from '../src/cli/controlClient';
import {ControlUnavailableError} from '../src/cli/controlClient';
import {explainRequest} from '../src/cli/explainRequest';
import {followRollout} from '../src/cli/followRollout';
import {mergeStatus} from '../src/cli/mergeStatus';
import {formatStatus} from '../src/cli/statusCommand';
import {submitAndFollow} from '../src/cli/submitCommand';
import {formatUsage} from '../src/cli/usageCommand';
import type {ProcessStatus, SubmitAnswer} from '../src/core/operatorMessages';
import type {Announcement} from '../src/core/wire';
import {parseRules} from '../src/rules/parseRules';
import {RuleIndex} from '../src/rules/ruleIndex';

const RULES = `revision 7 # asked by Una
pool planner engine # asked by Una
pool allocation service # asked by Una
customer harbour share=4 # asked by Una
customer depot share=1 # asked by Una
route customer=any path=/v1/ pool=planner # asked by Una
route customer=harbour path=/assign pool=allocation # asked by Una
once POST /assign key=required # asked by Una
zone zone-b out # asked by Niall
`;

function ruleIndexOf(text: string): RuleIndex {
  const result = parseRules(text);
  if (!result.ok) throw new Error(JSON.stringify(result.problems));
  return new RuleIndex(result.ruleSet);
}

function processStatus(processId: string, heldRevision: number): ProcessStatus {
  return {
    processId,
    role: 'entry',
    bootId: 'boot-1',
    availabilityZone: 'zone-a',
    heldRevision,
    pollAgeMs: 10,
  };
}

function clusterStatus(...processes: readonly ProcessStatus[]): ClusterStatus {
  const nothing = {instances: [], targets: [], silent: []};
  return {...nothing, revision: 7, rulesText: RULES, processes};
}

function target(targetId: string, changes: Partial<Announcement>) {
  const base: Announcement = {
    targetId,
    pool: 'planner',
    availabilityZone: 'zone-a',
    host: '127.0.0.1',
    port: 1,
    agentBootId: 'boot-1',
    agentBootAtMs: 1,
    seq: 1,
    state: 'serving',
    temperature: 'warm',
    limit: 8,
    outstanding: 0,
    queued: 0,
  };
  return {...base, ...changes};
}

/** Returns the statuses one after another, and the last one from then on. */
class FakeControl implements ControlClient {
  constructor(
    private readonly answer: SubmitAnswer | Error,
    private readonly statuses: ClusterStatus[] = [clusterStatus()]
  ) {}

  async submit(): Promise<SubmitAnswer> {
    if (this.answer instanceof Error) throw this.answer;
    return this.answer;
  }

  async status(): Promise<ClusterStatus> {
    const [first] = this.statuses;
    if (this.statuses.length > 1) this.statuses.shift();
    if (first === undefined)
      throw new Error('the fake has no status to return');
    return first;
  }

  async usage() {
    return {customers: []};
  }

  close(): void {}
}

describe('submit', () => {
  const cases: readonly (readonly [SubmitAnswer, number, string])[] = [
    [
      {kind: 'accepted', revision: 7, resent: false},
      0,
      'accepted as revision 7',
    ],
    [
      {kind: 'accepted', revision: 7, resent: true},
      0,
      'already accepted as revision 7; the same file was sent before',
    ],
    [
      {kind: 'superseded', revision: 7, current: 9},
      3,
      'superseded: revision 7 has been followed by others up to 9',
    ],
    [
      {kind: 'conflict', revision: 7, current: 7, winner: 'aoife'},
      3,
      'taken by another file, submitted by aoife; nothing was changed',
    ],
    [
      {kind: 'gap', revision: 9, current: 7},
      3,
      'gap: revision 9 cannot follow 7',
    ],
    [
      {kind: 'invalid', problems: [{line: 2, column: 1, reason: 'bad word'}]},
      2,
      'file:2:1: bad word',
    ],
  ];

  it.each(cases)(
    'should describe %j and exit with code %i',
    async (result, code, message) => {
      const lines: string[] = [];
      const exit = await submitAndFollow(
        new FakeControl(result),
        RULES,
        0,
        line => lines.push(line)
      );
      expect(exit).toBe(code);
      expect(lines.join('\n')).toContain(message);
    }
  );

  it.each([
    [true, 'may have been accepted; submit the same file again'],
    [false, 'nothing was sent'],
  ])(
    'should say whether a file without a reply may have been accepted (%s)',
    async (mayHaveTakenEffect, message) => {
      const err = new ControlUnavailableError('submit', [], mayHaveTakenEffect);
      const lines: string[] = [];
      const exit = await submitAndFollow(new FakeControl(err), RULES, 0, line =>
        lines.push(line)
      );
      expect(exit).toBe(1);
      expect(lines.join('\n')).toContain(message);
    }
  );
});

describe('following a revision', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  async function follow(statuses: ClusterStatus[], waitMs: number) {
    const lines: string[] = [];
    const client = new FakeControl(
      new Error('submit is not expected in this test'),
      statuses
    );
    const done = followRollout(client, 7, waitMs, line => lines.push(line));
    await jest.advanceTimersByTimeAsync(waitMs + 1000);
    return {everywhere: await done, text: lines.join('\n')};
  }

  it('should name each process once when the revision is active on it', async () => {
    const {everywhere, text} = await follow(
      [
        clusterStatus(processStatus('e1', 7), processStatus('e2', 6)),
        clusterStatus(processStatus('e1', 7), processStatus('e2', 8)),
      ],
      5000
    );
    expect(everywhere).toBe(true);
    expect(text).toContain('e2 in zone-a (200 ms, holds 8 already)');
    expect(text.split('\n').map(line => line.replace(/ \(.*/, ''))).toEqual([
      'in force: entry e1 in zone-a',
      'in force: entry e2 in zone-a',
      'revision 7 is in force on all 2 processes',
    ]);
  });

  it('should name processes that lag behind at the timeout', async () => {
    const {everywhere, text} = await follow(
      [clusterStatus(processStatus('e2', 6))],
      900
    );
    expect(everywhere).toBe(false);
    expect(text).toContain('behind: entry e2 in zone-a holds 6');
  });

  // Guards against reporting "in force on all processes" while a partitioned
  // process still has the old rules: it reports revision 6 once, then falls
  // silent, and control drops it from its status after a few seconds. The client
  // remembers every process it has seen, so this one is still reported.
  it('should not count out a process that control forgot', async () => {
    const {everywhere, text} = await follow(
      [
        clusterStatus(processStatus('e1', 7), processStatus('e2', 6)),
        clusterStatus(processStatus('e1', 7)),
      ],
      900
    );
    expect(everywhere).toBe(false);
    expect(text).toContain('silent: entry e2 in zone-a');
  });
});

describe('merged status', () => {
  // Guards against showing an old revision and a target that has left: a
  // partitioned instance still replies to the client with its old state. The
  // latest state of each process and target must be shown instead.
  it('should not let a cut-off instance hide what the others know', () => {
    const instance = {
      instanceId: 'c1',
      role: 'leader',
      term: 1,
      voter: true,
      commitIndex: 1,
    };
    const leaving = target('t1', {seq: 9, state: 'leaving'});
    const old = {
      instance,
      revision: 6,
      rulesText: 'old',
      processes: [{...processStatus('e1', 6), pollAgeMs: 2900}],
      targets: [target('t1', {seq: 8})],
    };
    const current = {
      instance,
      revision: 7,
      rulesText: RULES,
      processes: [processStatus('e1', 7)],
      targets: [leaving],
    };
    const silent = [{id: 'c3', reason: 'timeout'}];
    for (const answers of [
      [old, current],
      [current, old],
    ]) {
      const merged = mergeStatus(answers, silent);
      expect(merged).toMatchObject({revision: 7, rulesText: RULES, silent});
      expect(merged.processes.map(item => item.heldRevision)).toEqual([7]);
      expect(merged.targets.map(item => item.state)).toEqual(['leaving']);
    }
  });
});

describe('output of the client', () => {
  it('should show which process is behind and which instance is silent', () => {
    const status = {
      ...clusterStatus(processStatus('e1', 7), processStatus('e2', 6)),
      targets: [target('t1', {outstanding: 3, queued: 2, model: 'm'})],
      silent: [{id: 'c3', reason: 'timeout: no answer'}],
    };
    const text = formatStatus(status).join('\n');
    expect(text).toMatch(/^revision 7$/m);
    expect(text).toMatch(/^e1 .* 7 +in force +10 ms +never$/m);
    expect(text).toMatch(/^e2 .* 6 +behind/m);
    expect(text).toMatch(/^t1 +planner +zone-a +serving +warm +3\/8 +2 +m$/m);
    expect(text).toContain('c3 gave no answer: timeout');
  });

  it('should list customers by tokens used, with their share of all tokens', () => {
    const lines = formatUsage([
      {customer: 'depot', requests: 0, tokens: 0, queueMs: 0},
      {customer: 'sligo', requests: 2, tokens: 100, queueMs: 5},
      {customer: 'cork', requests: 4, tokens: 300, queueMs: 8},
    ]);
    expect(lines.slice(1)).toEqual([
      expect.stringMatching(/^cork +4 +300 +75\.0% +2\.0 ms$/),
      expect.stringMatching(/^sligo +2 +100 +25\.0% +2\.5 ms$/),
      expect.stringMatching(/^depot +0 +0 +0\.0% +-$/),
    ]);
  });
});

describe('explain', () => {
  const index = ruleIndexOf(RULES);
  const query = {customer: 'harbour', method: 'POST', path: '/v1/chat'};

  it('should name the rule lines and whether each target is eligible', () => {
    const targets = [
      target('t1', {}),
      target('t2', {availabilityZone: 'zone-b'}),
      target('t3', {state: 'leaving'}),
      target('t4', {temperature: 'cold', limit: 0}),
    ];
    const {lines, refusal} = explainRequest(index, targets, query);
    expect(refusal).toBeUndefined();
    const text = lines.join('\n');
    expect(text).toContain('line 6: route customer=any path=/v1/');
    expect(text).toContain('t1 in zone-a: may take it');
    expect(text).toContain('t2 in zone-b: may not: zone-out');
    expect(text).toContain('t3 in zone-a: may not: target-leaving');
    expect(text).toContain('t4 in zone-a: may not: target-cold');
  });

  it.each([
    [{customer: 'nobody'}, 'unknown-customer'],
    [{customer: 'depot', path: '/assign'}, 'no-route'],
    [{path: '/v1/chat'}, 'no-target'],
  ])('should predict the refusal of %j', (changes, reason) => {
    const request = {...query, ...changes};
    const {lines, refusal} = explainRequest(index, [], request);
    expect(refusal).toBe(reason);
    expect(lines.at(-1)).toContain(`refused: ${reason}`);
  });

  it('should recognize a non-idempotent call however its path is spelled', () => {
    const request = {...query, path: '//x/../%61ssign?box=4'};
    const {lines} = explainRequest(index, undefined, request);
    expect(lines.join('\n')).toContain('not idempotent by line 8');
  });
});

describe('check', () => {
  let folder: string;
  let printed: string;
  beforeEach(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'marlpulley-check-'));
    printed = '';
    const capture = (text: string | Uint8Array) => {
      printed += String(text);
      return true;
    };
    jest.spyOn(process.stdout, 'write').mockImplementation(capture);
    jest.spyOn(process.stderr, 'write').mockImplementation(capture);
  });
  afterEach(() => {
    jest.restoreAllMocks();
    rmSync(folder, {recursive: true});
  });

  async function check(text: string): Promise<number> {
    const file = path.join(folder, 'site.rules');
    writeFileSync(file, text);
    return runCheck([file]);
  }

  it('should accept a valid file', async () => {
    expect(await check(RULES)).toBe(0);
    expect(printed).toContain('revision 7, 9 rules, no faults');
  });

  it('should print each error with its line and column', async () => {
    expect(await check(`${RULES}zone zone-c off # asked by Una\n`)).toBe(2);
    expect(printed).toContain('site.rules:10:13: state must be one of');
    expect(printed).toContain('1 fault; nothing was applied');
  });

  it('should refuse a missing argument and a missing file', async () => {
    expect(await runCheck([])).toBe(2);
    expect(printed).toContain('expected FILE');
    expect(await runCheck([path.join(folder, 'none')])).toBe(2);
    expect(printed).toContain('cannot read');
  });
});
