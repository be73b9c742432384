/** One submission of a call under a key, decided by the `OnceMachine`. */

import {
  OnceAction,
  OnceEvent,
  OnceMachine,
  OnceTarget,
} from '../../src/entry/onceMachine';
import type {SubmissionEnd} from './onceHistory';

const MAX_ATTEMPTS = 3;

type EventHandler = (event: OnceEvent) => void;

/** Control, agents and clock, as a submission uses them. */
export interface OnceEnvironment {
  readonly now: number;
  entryBoot(entry: number): number;
  pickTarget(tried: ReadonlySet<string>): OnceTarget | undefined;
  claim(
    key: string,
    requestId: string,
    target: OnceTarget,
    remainingMs: number,
    onEvent: EventHandler
  ): void;
  lookup(key: string, onEvent: EventHandler): void;
  dispatch(
    call: CallSubmission,
    target: OnceTarget,
    attempt: number,
    onEvent: EventHandler
  ): void;
  fenceAtAgent(
    call: CallSubmission,
    target: OnceTarget,
    attempt: number,
    onEvent: EventHandler
  ): void;
  settle(
    key: string,
    attempt: number,
    settlement: Extract<OnceAction, {kind: 'settle'}>['settlement'],
    onSettled: () => void
  ): void;
  runAfter(ms: number, run: () => void): void;
  recordEnd(ended: SubmissionEnd): void;
}

/** One submission at one entry; it ends without a result if the entry dies. */
export class CallSubmission {
  private readonly machine: OnceMachine;
  private readonly boot: number;
  private claims = 0;

  constructor(
    private readonly environment: OnceEnvironment,
    private readonly entry: number,
    readonly key: string,
    readonly callId: string,
    readonly deadlineAt: number
  ) {
    this.machine = new OnceMachine(`entry-${entry}`, MAX_ATTEMPTS);
    this.boot = environment.entryBoot(entry);
  }

  start(): void {
    this.perform(this.machine.start());
  }

  private readonly handleEvent = (event: OnceEvent): void => {
    if (this.environment.entryBoot(this.entry) !== this.boot) return;
    this.perform(this.machine.next(event));
  };

  private perform(action: OnceAction): void {
    const {environment, key, callId} = this;
    switch (action.kind) {
      case 'route':
        return this.route(action.tried);
      case 'claim':
        return environment.claim(
          key,
          `${callId}/${++this.claims}`,
          action.target,
          this.deadlineAt - environment.now,
          this.handleEvent
        );
      case 'lookup':
        return environment.lookup(key, this.handleEvent);
      case 'dispatch':
        return environment.dispatch(
          this,
          action.target,
          action.attempt,
          this.handleEvent
        );
      case 'fence':
        return environment.fenceAtAgent(
          this,
          action.target,
          action.attempt,
          this.handleEvent
        );
      case 'settle':
        return environment.settle(key, action.attempt, action.settlement, () =>
          this.handleEvent({kind: 'settled'})
        );
      case 'wait':
        return environment.runAfter(action.ms, () =>
          this.handleEvent({kind: 'waited'})
        );
      case 'answer':
        if (action.settleAttempt !== undefined) {
          environment.settle(
            key,
            action.settleAttempt,
            {kind: 'answered', answer: action.answer},
            () => undefined
          );
        }
        environment.recordEnd({callId, key, end: action});
        return;
      case 'refuse':
        environment.recordEnd({callId, key, end: action});
        return;
    }
  }

  private route(tried: ReadonlySet<string>): void {
    if (this.environment.now >= this.deadlineAt)
      return this.handleEvent({kind: 'deadline'});
    const target = this.environment.pickTarget(tried);
    this.handleEvent(
      target === undefined
        ? {kind: 'no target', detail: 'all tried'}
        : {kind: 'routed', target}
    );
  }
}
