/** Calls that wait for the result of a proposal or a read barrier. */

import type {CommandResult} from '../state/command';

interface Waiter<T> {
  readonly resolve: (value: T) => void;
  readonly reject: (err: unknown) => void;
}

interface ApplyWaiter extends Waiter<void> {
  readonly index: number;
}

/**
 * Pending promises: proposals by ticket until they are appended and then by log
 * index, read barriers by ticket, and waits for an applied index.
 */
export class PendingCalls {
  private nextTicket = 1;
  private readonly proposals = new Map<number, Waiter<CommandResult>>();
  private readonly appendedProposals = new Map<number, Waiter<CommandResult>>();
  private readonly barriers = new Map<number, Waiter<number>>();
  private applyWaiters: ApplyWaiter[] = [];

  proposal(start: (ticket: number) => void): Promise<CommandResult> {
    return new Promise((resolve, reject) => {
      const ticket = this.nextTicket++;
      this.proposals.set(ticket, {resolve, reject});
      start(ticket);
    });
  }

  /** Resolves with the read index. */
  barrier(start: (ticket: number) => void): Promise<number> {
    return new Promise((resolve, reject) => {
      const ticket = this.nextTicket++;
      this.barriers.set(ticket, {resolve, reject});
      start(ticket);
    });
  }

  /**
   * Resolves once `index` is applied; rejects with `timeoutError` otherwise.
   */
  untilApplied(
    index: number,
    timeoutMs: number,
    timeoutError: Error
  ): Promise<void> {
    return new Promise((resolve, reject) => {
      const waiter = {index, resolve, reject};
      this.applyWaiters.push(waiter);
      const timer = setTimeout(() => {
        this.applyWaiters = this.applyWaiters.filter(other => other !== waiter);
        reject(timeoutError);
      }, timeoutMs);
      timer.unref();
    });
  }

  markAppended(ticket: number, index: number): void {
    const waiter = this.proposals.get(ticket);
    if (waiter === undefined) return;
    this.proposals.delete(ticket);
    this.appendedProposals.set(index, waiter);
  }

  rejectTicket(ticket: number, err: unknown): void {
    this.proposals.get(ticket)?.reject(err);
    this.proposals.delete(ticket);
    this.barriers.get(ticket)?.reject(err);
    this.barriers.delete(ticket);
  }

  ready(ticket: number, index: number): void {
    this.barriers.get(ticket)?.resolve(index);
    this.barriers.delete(ticket);
  }

  resolveProposal(index: number, result: CommandResult): void {
    this.appendedProposals.get(index)?.resolve(result);
    this.appendedProposals.delete(index);
  }

  resolveApplied(index: number): void {
    const due = this.applyWaiters.filter(waiter => waiter.index <= index);
    if (due.length === 0) return;
    this.applyWaiters = this.applyWaiters.filter(
      waiter => waiter.index > index
    );
    for (const waiter of due) waiter.resolve();
  }

  /** Rejects proposals whose outcome this instance will no longer learn. */
  rejectAppended(err: unknown): void {
    const waiters = [...this.appendedProposals.values()];
    this.appendedProposals.clear();
    for (const waiter of waiters) waiter.reject(err);
  }

  rejectAll(err: unknown): void {
    this.rejectAppended(err);
    const waiters = [
      ...this.proposals.values(),
      ...this.barriers.values(),
      ...this.applyWaiters,
    ];
    this.proposals.clear();
    this.barriers.clear();
    this.applyWaiters = [];
    for (const waiter of waiters) waiter.reject(err);
  }
}
