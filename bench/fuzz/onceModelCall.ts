/** One sending of a call under a key, decided by the shipped machine. */

import {
  OnceAction,
  OnceEvent,
  OnceMachine,
  OnceTarget,
} from '../../src/entry/onceMachine';
import type {Ended} from './onceHistory';

const MAX_ATTEMPTS = 3;

type Give = (event: OnceEvent) => void;

/** What a sending needs of the world around it. */
export interface OnceSurroundings {
  readonly now: number;
  entryBoot(entry: number): number;
  pickTarget(tried: ReadonlySet<string>): OnceTarget | undefined;
  claim(
    key: string,
    requestId: string,
    target: OnceTarget,
    leftMs: number,
    give: Give
  ): void;
  lookup(key: string, give: Give): void;
  dispatch(
    call: ModelCall,
    target: OnceTarget,
    attempt: number,
    give: Give
  ): void;
  askAgent(
    call: ModelCall,
    target: OnceTarget,
    attempt: number,
    give: Give
  ): void;
  settle(
    key: string,
    attempt: number,
    settlement: Extract<OnceAction, {kind: 'settle'}>['settlement'],
    give: () => void
  ): void;
  later(ms: number, run: () => void): void;
  end(ended: Ended): void;
}

/** One sending at one entry; it stops where it is when the entry dies. */
export class ModelCall {
  private readonly machine: OnceMachine;
  private readonly boot: number;
  private claims = 0;

  constructor(
    private readonly world: OnceSurroundings,
    private readonly entry: number,
    readonly key: string,
    readonly callId: string,
    readonly deadlineAt: number
  ) {
    this.machine = new OnceMachine(`entry-${entry}`, MAX_ATTEMPTS);
    this.boot = world.entryBoot(entry);
  }

  start(): void {
    this.perform(this.machine.start());
  }

  private readonly give = (event: OnceEvent): void => {
    if (this.world.entryBoot(this.entry) !== this.boot) return;
    this.perform(this.machine.next(event));
  };

  private perform(action: OnceAction): void {
    const {world, key, callId} = this;
    switch (action.kind) {
      case 'route':
        return this.route(action.tried);
      case 'claim':
        return world.claim(
          key,
          `${callId}/${++this.claims}`,
          action.target,
          this.deadlineAt - world.now,
          this.give
        );
      case 'lookup':
        return world.lookup(key, this.give);
      case 'dispatch':
        return world.dispatch(this, action.target, action.attempt, this.give);
      case 'ask':
        return world.askAgent(this, action.target, action.attempt, this.give);
      case 'settle':
        return world.settle(key, action.attempt, action.settlement, () =>
          this.give({kind: 'settled'})
        );
      case 'wait':
        return world.later(action.ms, () => this.give({kind: 'waited'}));
      case 'answer':
        if (action.settleAttempt !== undefined) {
          world.settle(
            key,
            action.settleAttempt,
            {kind: 'answered', answer: action.answer},
            () => undefined
          );
        }
        world.end({callId, key, end: action});
        return;
      case 'refuse':
        world.end({callId, key, end: action});
        return;
    }
  }

  private route(tried: ReadonlySet<string>): void {
    if (this.world.now >= this.deadlineAt) return this.give({kind: 'deadline'});
    const target = this.world.pickTarget(tried);
    this.give(
      target === undefined
        ? {kind: 'no target', detail: 'all tried'}
        : {kind: 'routed', target}
    );
  }
}
