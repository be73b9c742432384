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

/** One process against one control instance that answers as it is told. */
class Polled {
  readonly asked: PollRequest[] = [];
  private answers: readonly Partial<PollAnswer>[] = [];

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

  /** Polls once for each answer; returns the text then in force. */
  async poll(...answers: readonly Partial<PollAnswer>[]) {
    this.answers = answers;
    for (let i = 0; i < answers.length; i++) await this.sync.announceNow();
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
      this.asked.push(request);
      const [next, ...rest] = this.answers;
      this.answers = rest;
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

describe('rules by difference', () => {
  it('should put the rules in force that the difference leads to', async () => {
    const rulesDiff = diffRules(FIRST, SECOND);
    const polled = new Polled();
    expect(await polled.poll({rules: FIRST}, {rulesDiff})).toBe(SECOND.text);
    expect(polled.asked[1]).toMatchObject({heldRevision: 1, takesDiff: true});
  });

  it('should ask for the whole file when the difference does not lead there', async () => {
    // Two control planes gave different files the number 1, as after the loss
    // of every disk. The difference is to the other file; its lines would mix
    // both files, and nobody would see it until a call went astray.
    const other = {
      revision: 1,
      text: rulesText({revision: 1, askedBy: 'Eoin'}),
    };
    const polled = new Polled();
    const rulesDiff = diffRules(other, SECOND);
    expect(await polled.poll({rules: FIRST}, {rulesDiff})).toBe(FIRST.text);
    expect(await polled.poll({rules: SECOND})).toBe(SECOND.text);
    expect(polled.asked.map(({takesDiff}) => takesDiff)).toEqual([
      true,
      true,
      false,
    ]);
  });

  it('should refuse a difference whose result has another digest', () => {
    const diff = diffRules(FIRST, SECOND);
    const bent: RuleDiff = {
      ...diff,
      changes: diff.changes.map(change => ({...change, added: []})),
    };
    expect(applyDiff(FIRST, bent)).toBeUndefined();
  });

  it('should not go back by a difference that comes late', async () => {
    const polled = new Polled();
    const rulesDiff = diffRules(FIRST, SECOND);
    expect(await polled.poll({rules: FIRST}, {rules: THIRD}, {rulesDiff})).toBe(
      THIRD.text
    );
  });
});

describe('use in polls', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it('should be told every five seconds, and at once when the entry leaves', async () => {
    const polled = new Polled();
    polled.start();
    await jest.advanceTimersByTimeAsync(4_900);
    const told = () => polled.asked.filter(({usage}) => usage !== undefined);
    expect(polled.asked).toHaveLength(10);
    expect(told()).toHaveLength(1);
    await jest.advanceTimersByTimeAsync(200);
    expect(told()).toHaveLength(2);
    await polled.poll({});
    expect(told()).toHaveLength(3);
    polled.stop();
  });
});

describe('use in polls of an instance that does not lead', () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  it('should be told when the entry leaves, and not before', async () => {
    // The entry ends, and then the leader is lost before it has logged the last
    // words. With nobody else told of them, the use would never be charged.
    const polled = new Polled({leaderId: 'control-1'});
    const told = () => polled.asked.filter(({usage}) => usage !== undefined);
    polled.start();
    await jest.advanceTimersByTimeAsync(11_000);
    expect(told()).toHaveLength(1);
    await polled.poll({});
    expect(told()).toHaveLength(2);
    polled.stop();
  });
});

describe('recent rules of a control instance', () => {
  it('should lead from any kept file to the newest', () => {
    const recent = new RecentRules();
    for (const file of [FIRST, SECOND, THIRD]) recent.note(file);
    const diff = recent.diffFrom(1);
    expect(diff && applyDiff(FIRST, diff)).toEqual(THIRD);
  });

  it('should know no way from a file that it never had or no longer keeps', () => {
    const recent = new RecentRules();
    for (let revision = 2; revision <= 70; revision++)
      recent.note({revision, text: rulesText({revision})});
    expect(recent.diffFrom(1)).toBeUndefined();
    expect(recent.diffFrom(5)).toBeUndefined();
    expect(recent.diffFrom(69)).toMatchObject({toRevision: 70});
  });
});
