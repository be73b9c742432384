import {rulesText} from '../bench/deployment/rulesText';
import {RecentRules} from '../src/control/recentRules';
import {createLogger} from '../src/core/logger';
import {Metrics} from '../src/core/metrics';
import type {PollAnswer, PollRequest, RuleDiff} from '../src/core/wire';
import type {PeerClient} from '../src/rpc/peerClient';
import {applyDiff, diffRules} from '../src/rules/ruleDiff';
import {ControlSync} from '../src/sync/controlSync';

const FIRST = {revision: 1, text: rulesText({revision: 1})};
const SECOND = {
  revision: 2,
  text: rulesText({revision: 2, zonesOut: ['zone-b']}),
};
const THIRD = {revision: 3, text: rulesText({revision: 3})};

/** An entry's ControlSync before one control instance with scripted replies. */
class SyncHarness {
  readonly polls: PollRequest[] = [];
  private replies: readonly Partial<PollAnswer>[] = [];

  constructor(private readonly base: Partial<PollAnswer> = {}) {}

  private readonly sync = new ControlSync({
    processId: 'entry-0',
    role: 'entry',
    bootId: 'boot-1',
    availabilityZone: 'zone-a',
    instances: [this.instance()],
    pollMs: 500,
    proofMs: 2_500,
    report: () => ({
      usage: [{customer: 'harbour', requests: 1, tokens: 2, queueMs: 0}],
    }),
    logger: createLogger('entry', 'entry-0', 'fatal'),
    metrics: new Metrics('entry-0'),
  });

  /** Polls once for each reply; returns the text of the rules then applied. */
  async poll(...replies: readonly Partial<PollAnswer>[]) {
    this.replies = replies;
    for (let i = 0; i < replies.length; i++) await this.sync.announceLeaving();
    return this.sync.rules?.index.ruleSet.text;
  }

  start(): void {
    this.sync.start();
  }

  stop(): void {
    this.sync.stop();
  }

  private instance(): PeerClient {
    const call = async (_method: string, request: PollRequest) => {
      this.polls.push(request);
      const [next, ...rest] = this.replies;
      this.replies = rest;
      return {
        instanceId: 'control-0',
        bootId: 'control-boot-1',
        voter: true,
        voterCount: 1,
        term: 1,
        lastRevision: 1,
        ...this.base,
        ...next,
      };
    };
    const address = {id: 'control-0', host: '127.0.0.1', port: 1};
    return {address, call} as unknown as PeerClient;
  }
}

describe('rules sent as a diff', () => {
  it('should apply the rules that result from the diff', async () => {
    const rulesDiff = diffRules(FIRST, SECOND);
    const harness = new SyncHarness();
    expect(await harness.poll({rules: FIRST}, {rulesDiff})).toBe(SECOND.text);
    expect(harness.polls[1]).toMatchObject({heldRevision: 1, takesDiff: true});
  });

  it('should ask for the whole file when the diff does not apply', async () => {
    // Two files have revision 1, as can happen after the loss of every disk of
    // control. The diff starts from the other file: applied anyway, it would
    // mix the lines of both, unnoticed until a call was routed wrongly.
    const other = {
      revision: 1,
      text: rulesText({revision: 1, askedBy: 'Eoin'}),
    };
    const harness = new SyncHarness();
    const rulesDiff = diffRules(other, SECOND);
    expect(await harness.poll({rules: FIRST}, {rulesDiff})).toBe(FIRST.text);
    expect(await harness.poll({rules: SECOND})).toBe(SECOND.text);
    expect(harness.polls.map(({takesDiff}) => takesDiff)).toEqual([
      true,
      true,
      false,
    ]);
  });

  it('should reject a diff whose result has another digest', () => {
    const diff = diffRules(FIRST, SECOND);
    const corrupted: RuleDiff = {
      ...diff,
      changes: diff.changes.map(change => ({...change, added: []})),
    };
    expect(applyDiff(FIRST, corrupted)).toBeUndefined();
  });

  it('should not return to an older revision by a late diff', async () => {
    const harness = new SyncHarness();
    const rulesDiff = diffRules(FIRST, SECOND);
    expect(
      await harness.poll({rules: FIRST}, {rules: THIRD}, {rulesDiff})
    ).toBe(THIRD.text);
  });
});

describe('usage in polls', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it('should be reported every five seconds, and at once when the entry leaves', async () => {
    const harness = new SyncHarness();
    harness.start();
    await jest.advanceTimersByTimeAsync(4_900);
    const reports = () =>
      harness.polls.filter(({usage}) => usage !== undefined);
    expect(harness.polls).toHaveLength(10);
    expect(reports()).toHaveLength(1);
    await jest.advanceTimersByTimeAsync(200);
    expect(reports()).toHaveLength(2);
    await harness.poll({});
    expect(reports()).toHaveLength(3);
    harness.stop();
  });
});

describe('usage in polls of an instance that is not the leader', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it('should be reported when the entry leaves, and not before', async () => {
    // The entry ends, and then the leader fails before it has logged the
    // entry's final report. Sent to no other instance, that usage would never
    // be charged.
    const harness = new SyncHarness({leaderId: 'control-1'});
    const reports = () =>
      harness.polls.filter(({usage}) => usage !== undefined);
    harness.start();
    await jest.advanceTimersByTimeAsync(11_000);
    expect(reports()).toHaveLength(1);
    await harness.poll({});
    expect(reports()).toHaveLength(2);
    harness.stop();
  });
});

describe('recent rules of a control instance', () => {
  it('should give a diff from any kept file to the newest', () => {
    const recent = new RecentRules();
    for (const file of [FIRST, SECOND, THIRD]) recent.setCurrent(file);
    const diff = recent.diffFrom(1);
    expect(diff && applyDiff(FIRST, diff)).toEqual(THIRD);
  });

  it('should give no diff from a file that it never had or no longer keeps', () => {
    const recent = new RecentRules();
    for (let revision = 2; revision <= 70; revision++)
      recent.setCurrent({revision, text: rulesText({revision})});
    expect(recent.diffFrom(1)).toBeUndefined();
    expect(recent.diffFrom(5)).toBeUndefined();
    expect(recent.diffFrom(69)).toMatchObject({toRevision: 70});
  });
});
