import {writeFileSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {runCheck} from '../src/cli/checkCommand';
import type {ClusterStatus, ControlClient} from '../src/cli/controlClient';
import {ControlUnavailableError} from '../src/cli/controlClient';
import {explainRequest} from '../src/cli/explainRequest';
import {followRollout} from '../src/cli/inForce';
import {mergeStatus} from '../src/cli/mergeStatus';
import {formatStatus} from '../src/cli/statusCommand';
import {submitAndFollow} from '../src/cli/submitCommand';
import {formatUsage} from '../src/cli/usageCommand';
import type {ProcessStatus, SubmitAnswer} from '../src/core/operatorAnswers';
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

function indexOf(text: string): RuleIndex {
  const result = parseRules(text);
  if (!result.ok) throw new Error(JSON.stringify(result.problems));
  return new RuleIndex(result.ruleSet);
}

function processAt(processId: string, heldRevision: number): ProcessStatus {
  return {
    processId,
    role: 'entry',
    bootId: 'boot-1',
    availabilityZone: 'zone-a',
    heldRevision,
    pollAgeMs: 10,
  };
}

function statusOf(...processes: readonly ProcessStatus[]): ClusterStatus {
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

/** Gives the statuses one after another, the last one for ever. */
class FakeControl implements ControlClient {
  constructor(
    private readonly answer: SubmitAnswer | Error,
    private readonly statuses: ClusterStatus[] = [statusOf()]
  ) {}

  async submit(): Promise<SubmitAnswer> {
    if (this.answer instanceof Error) throw this.answer;
    return this.answer;
  }

  async status(): Promise<ClusterStatus> {
    const [first] = this.statuses;
    if (this.statuses.length > 1) this.statuses.shift();
    if (first === undefined) throw new Error('no status given');
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
    'should tell %j with exit code %i',
    async (result, code, say) => {
      const lines: string[] = [];
      const exit = await submitAndFollow(
        new FakeControl(result),
        RULES,
        0,
        line => lines.push(line)
      );
      expect(exit).toBe(code);
      expect(lines.join('\n')).toContain(say);
    }
  );

  it.each([
    [true, 'may have been accepted; submit the same file again'],
    [false, 'nothing was sent'],
  ])('should say what an unanswered file came to (%s)', async (may, say) => {
    const err = new ControlUnavailableError('submit', [], may);
    const lines: string[] = [];
    const exit = await submitAndFollow(new FakeControl(err), RULES, 0, line =>
      lines.push(line)
    );
    expect(exit).toBe(1);
    expect(lines.join('\n')).toContain(say);
  });
});

describe('following a revision', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  async function follow(statuses: ClusterStatus[], waitMs: number) {
    const lines: string[] = [];
    const client = new FakeControl(new Error('not submitted here'), statuses);
    const done = followRollout(client, 7, waitMs, line => lines.push(line));
    await jest.advanceTimersByTimeAsync(waitMs + 1000);
    return {everywhere: await done, text: lines.join('\n')};
  }

  it('should name each process once as it comes', async () => {
    const {everywhere, text} = await follow(
      [
        statusOf(processAt('e1', 7), processAt('e2', 6)),
        statusOf(processAt('e1', 7), processAt('e2', 8)),
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

  it('should name laggards when the time is up', async () => {
    const {everywhere, text} = await follow(
      [statusOf(processAt('e2', 6))],
      900
    );
    expect(everywhere).toBe(false);
    expect(text).toContain('behind: entry e2 in zone-a holds 6');
  });

  // The operator would read "in force on all processes" although one is cut
  // off with the old rules: it is seen once with revision 6, then falls
  // silent, and control drops it from its list after a few seconds. The
  // follower remembers whom it saw, so the process stays on the page.
  it('should not count out a process that control forgot', async () => {
    const {everywhere, text} = await follow(
      [
        statusOf(processAt('e1', 7), processAt('e2', 6)),
        statusOf(processAt('e1', 7)),
      ],
      900
    );
    expect(everywhere).toBe(false);
    expect(text).toContain('silent: entry e2 in zone-a');
  });
});

describe('merged status', () => {
  // The page would show an old revision and a target that has left: an
  // instance that was cut off silently still answers the operator with what
  // it knew. The latest word on each process and target counts instead.
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
      processes: [{...processAt('e1', 6), pollAgeMs: 2900}],
      targets: [target('t1', {seq: 8})],
    };
    const current = {
      instance,
      revision: 7,
      rulesText: RULES,
      processes: [processAt('e1', 7)],
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

describe('pages of the client', () => {
  it('should show who is behind and which instance is silent', () => {
    const status = {
      ...statusOf(processAt('e1', 7), processAt('e2', 6)),
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

  it('should show the largest user first, with its part of all tokens', () => {
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
  const index = indexOf(RULES);
  const query = {customer: 'harbour', method: 'POST', path: '/v1/chat'};

  it('should name the lines and the fitness of each target', () => {
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
  ])('should foresee the refusal of %j', (changes, reason) => {
    const asked = {...query, ...changes};
    const {lines, refusal} = explainRequest(index, [], asked);
    expect(refusal).toBe(reason);
    expect(lines.at(-1)).toContain(`refused: ${reason}`);
  });

  it('should find a call not idempotent however its path is spelled', () => {
    const asked = {...query, path: '//x/../%61ssign?box=4'};
    const {lines} = explainRequest(index, undefined, asked);
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

  it('should pass a good file', async () => {
    expect(await check(RULES)).toBe(0);
    expect(printed).toContain('revision 7, 9 rules, no faults');
  });

  it('should print each fault where an editor can jump to it', async () => {
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
