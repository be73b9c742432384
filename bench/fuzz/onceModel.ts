/**
 * Calls that may run at most once, under faults. Uses the product code for the
 * entry's decisions, the agent's claim records and the claims at control, with
 * late, lost and duplicated messages, entries and agents that die, and callers
 * that submit a call again.
 */

import type {RecordedAnswer} from '../../src/core/claims';
import type {Refusal} from '../../src/core/refusal';
import {ClaimRegistry, claimIdOf} from '../../src/agent/claimRegistry';
import {ClaimState} from '../../src/control/state/claimState';
import type {
  FenceResult,
  OnceAction,
  OnceEvent,
  OnceTarget,
} from '../../src/entry/onceMachine';
import {
  SubmissionEnd,
  OnceHistory,
  TargetRun,
  checkAtMostOnce,
} from './onceHistory';
import {CallSubmission, OnceEnvironment} from './callSubmission';
import type {FuzzModel} from './fuzzModel';
import {SeededRandom} from './schedule';
import {Timeline} from './timeline';

const CUSTOMER = 'harbour';
const KEYS = ['key-1', 'key-2', 'key-3'];
const SUBMISSIONS_PER_KEY = 4;
const AGENTS = 3;
const ENTRIES = 2;
const FAULTS_MS = 20_000;
const RPC_TIMEOUT_MS = 1_500;
const CALL_TIMEOUT_MS = 10_000;
const MAX_STEPS = 50_000;

/** An agent and its target, which continues to run when the agent dies. */
class SimulatedAgent {
  boot = 1;
  up = true;
  claimRegistry = new ClaimRegistry();

  constructor(readonly id: string) {}

  get bootId(): string {
    return `${this.id}/${this.boot}`;
  }

  restart(): void {
    this.boot++;
    this.claimRegistry = new ClaimRegistry();
    this.up = true;
  }
}

class OnceSimulation implements OnceEnvironment, OnceHistory {
  readonly keys = KEYS;
  readonly runs: TargetRun[] = [];
  readonly ended: SubmissionEnd[] = [];
  private readonly random: SeededRandom;
  private readonly timeline: Timeline;
  private readonly claims = new ClaimState();
  private readonly agents = Array.from(
    {length: AGENTS},
    (_, i) => new SimulatedAgent(`target-${i}`)
  );
  private readonly entryBoots = Array.from({length: ENTRIES}, () => 0);
  private controlUp = true;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.timeline = new Timeline(this.random);
  }

  run(): void {
    for (const key of KEYS) {
      for (let i = 0; i < SUBMISSIONS_PER_KEY; i++) {
        this.timeline.within(0, FAULTS_MS, () =>
          this.submit(key, `${key}/${i}`)
        );
      }
      // After the faults the call must end with a definite outcome.
      this.timeline.after(FAULTS_MS * 3, () => this.submit(key, `${key}/last`));
    }
    this.planFaults();
    this.timeline.runAll(MAX_STEPS);
  }

  private get hasFaults(): boolean {
    return this.timeline.now < FAULTS_MS;
  }

  private planFaults(): void {
    for (let i = this.random.int(0, 6); i > 0; i--) {
      const agent = this.random.pick(this.agents);
      this.timeline.within(0, FAULTS_MS, () => {
        agent.up = false;
        this.timeline.within(1, 3_000, () => agent.restart());
      });
    }
    for (let i = this.random.int(0, 3); i > 0; i--) {
      const entry = this.random.int(0, ENTRIES - 1);
      this.timeline.within(0, FAULTS_MS, () => this.entryBoots[entry]!++);
    }
    for (let i = this.random.int(0, 2); i > 0; i--) {
      this.timeline.within(0, FAULTS_MS, () => {
        this.controlUp = false;
        this.timeline.within(1, 5_000, () => (this.controlUp = true));
      });
    }
  }

  /** Sends a message that may be late, lost or duplicated during the faults. */
  private sendMessage(deliver: () => void, mayDuplicate = true): void {
    if (this.hasFaults && this.random.chance(0.1)) return;
    const isLate = this.hasFaults && this.random.chance(0.15);
    this.timeline.within(1, isLate ? 15_000 : 30, deliver);
    if (mayDuplicate && this.hasFaults && this.random.chance(0.05))
      this.timeline.within(1, 15_000, deliver);
  }

  /** Calls `onReply` once: with the reply, or undefined after the timeout. */
  private callWithTimeout<T>(
    timeoutMs: number,
    handleRequest: () => T | undefined,
    onReply: (reply: T | undefined) => void
  ): void {
    let isPending = true;
    const finish = (reply: T | undefined) => {
      if (!isPending) return;
      isPending = false;
      onReply(reply);
    };
    this.timeline.after(timeoutMs, () => finish(undefined));
    this.sendMessage(() => {
      const reply = handleRequest();
      if (reply !== undefined) this.sendMessage(() => finish(reply));
    });
  }

  private submit(key: string, callId: string): void {
    const entry = this.random.int(0, ENTRIES - 1);
    new CallSubmission(
      this,
      entry,
      key,
      callId,
      this.timeline.now + CALL_TIMEOUT_MS
    ).start();
  }

  entryBoot(entry: number): number {
    return this.entryBoots[entry] ?? 0;
  }

  pickTarget(tried: ReadonlySet<string>): OnceTarget | undefined {
    const untried = this.agents.filter(agent => !tried.has(agent.id));
    if (untried.length === 0 || this.random.chance(0.05)) return undefined;
    const agent = this.random.pick(untried);
    // An announcement can be older than the agent's last restart.
    const boot = this.random.chance(0.1)
      ? Math.max(1, agent.boot - 1)
      : agent.boot;
    return {targetId: agent.id, agentBootId: `${agent.id}/${boot}`};
  }

  claim(
    key: string,
    requestId: string,
    target: OnceTarget,
    remainingMs: number,
    onEvent: (event: OnceEvent) => void
  ): void {
    this.callWithTimeout(
      RPC_TIMEOUT_MS,
      () => {
        if (!this.controlUp) return undefined;
        const {targetId, agentBootId} = target;
        const command = {
          kind: 'claim',
          customer: CUSTOMER,
          key,
          digest: key,
          entryId: 'e',
          requestId,
          targetId,
          agentBootId,
          atMs: this.timeline.now,
        } as const;
        return this.claims.claim(command);
      },
      result => {
        if (result !== undefined)
          return onEvent({kind: 'claimed', result, nowMs: this.timeline.now});
        if (remainingMs > RPC_TIMEOUT_MS)
          return this.claim(
            key,
            requestId,
            target,
            remainingMs - RPC_TIMEOUT_MS,
            onEvent
          );
        return onEvent({
          kind: 'claim failed',
          peer: 'control',
          detail: 'no answer',
        });
      }
    );
  }

  lookup(key: string, onEvent: (event: OnceEvent) => void): void {
    this.callWithTimeout(
      RPC_TIMEOUT_MS,
      () =>
        this.controlUp ? this.claims.lookup(CUSTOMER, key, key) : undefined,
      result => {
        if (result === undefined)
          return onEvent({kind: 'claim failed', peer: 'control', detail: ''});
        return onEvent({kind: 'looked up', result, nowMs: this.timeline.now});
      }
    );
  }

  settle(
    key: string,
    attempt: number,
    settlement: Extract<OnceAction, {kind: 'settle'}>['settlement'],
    onSettled: () => void
  ): void {
    this.callWithTimeout(
      RPC_TIMEOUT_MS * 3,
      () =>
        this.controlUp
          ? this.claims.settle({
              kind: 'settle',
              customer: CUSTOMER,
              key,
              attempt,
              settlement,
            })
          : undefined,
      onSettled
    );
  }

  dispatch(
    call: CallSubmission,
    target: OnceTarget,
    attempt: number,
    onEvent: (event: OnceEvent) => void
  ): void {
    const agent = this.agentOf(target);
    if (!agent.up) return onEvent(refused('target-unreachable'));
    let isPending = true;
    const finish = (event: OnceEvent) => {
      if (!isPending) return;
      isPending = false;
      onEvent(event);
    };
    this.timeline.after(Math.max(1, call.deadlineAt - this.timeline.now), () =>
      finish(refused('outcome-unknown'))
    );
    // A dispatch is one request that is written once to one TCP connection: it
    // can be late or lost, but never arrive twice.
    const deliver = () =>
      this.handleDispatch(agent, call, target, attempt, finish);
    this.sendMessage(deliver, false);
  }

  private handleDispatch(
    agent: SimulatedAgent,
    call: CallSubmission,
    target: OnceTarget,
    attempt: number,
    finish: (event: OnceEvent) => void
  ): void {
    if (!agent.up) return;
    const reply = (event: OnceEvent) => this.sendMessage(() => finish(event));
    if (agent.bootId !== target.agentBootId)
      return reply(refused('target-changed'));
    const claimId = claimIdOf(CUSTOMER, call.key, attempt);
    const decision = agent.claimRegistry.begin(claimId);
    if (decision === 'fenced') return reply(refused('claim-fenced'));
    if (decision !== 'run') return reply(refused('in-progress'));
    if (this.random.chance(0.1)) {
      agent.claimRegistry.markNotSent(claimId);
      return reply(refused('target-unreachable'));
    }
    this.runAtTarget(agent, call, claimId, reply);
  }

  /** The target finishes its run even if its agent dies meanwhile. */
  private runAtTarget(
    agent: SimulatedAgent,
    call: CallSubmission,
    claimId: string,
    reply: (event: OnceEvent) => void
  ): void {
    const {claimRegistry, boot} = agent;
    const isResponseLost = this.random.chance(0.15);
    this.timeline.within(1, 4_000, () => {
      const runNumber = this.runs.push({key: call.key, callId: call.callId});
      const answer: RecordedAnswer = {
        status: 201,
        headers: [],
        bodyBase64: String(runNumber),
      };
      if (isResponseLost) {
        claimRegistry.markSent(claimId);
        return reply(refused('outcome-unknown'));
      }
      claimRegistry.markSent(claimId, answer);
      if (agent.boot === boot && agent.up) reply({kind: 'answered', answer});
    });
  }

  fenceAtAgent(
    call: CallSubmission,
    target: OnceTarget,
    attempt: number,
    onEvent: (event: OnceEvent) => void
  ): void {
    const agent = this.agentOf(target);
    this.callWithTimeout<FenceResult>(
      RPC_TIMEOUT_MS,
      () => {
        if (!agent.up) return undefined;
        if (agent.bootId !== target.agentBootId) return {kind: 'other boot'};
        return agent.claimRegistry.fence(
          claimIdOf(CUSTOMER, call.key, attempt)
        );
      },
      result =>
        onEvent({kind: 'fence result', result: result ?? {kind: 'no answer'}})
    );
  }

  recordEnd(ended: SubmissionEnd): void {
    this.ended.push(ended);
  }

  runAfter(ms: number, run: () => void): void {
    this.timeline.after(ms, run);
  }

  get now(): number {
    return this.timeline.now;
  }

  private agentOf({targetId}: OnceTarget): SimulatedAgent {
    const agent = this.agents.find(one => one.id === targetId);
    if (agent === undefined) throw new Error(`no agent of target ${targetId}`);
    return agent;
  }
}

function refused(reason: Refusal['reason']): OnceEvent {
  return {
    kind: 'refused',
    refusal: {reason, step: 'dispatch', peer: 'target', detail: reason},
  };
}

/** Checks that calls run at most once and that "not run" is true. */
export const ONCE_MODEL: FuzzModel = {
  name: 'once',
  run(seed) {
    const world = new OnceSimulation(seed);
    world.run();
    checkAtMostOnce(world);
  },
};
