/** Callers that wait for the outcome of a proposal or a barrier. */

import type {CommandResult} from '../state/command';

interface Waiter<T> {
  readonly resolve: (value: T) => void;
  readonly reject: (err: unknown) => void;
}

interface ApplyWaiter extends Waiter<void> {
  readonly index: number;
}

/** Promises by ticket, by log index, and by applied index. */
export class PendingCalls {
  private nextTicket = 1;
  private readonly proposals = new Map<number, Waiter<CommandResult>>();
  private readonly placed = new Map<number, Waiter<CommandResult>>();
  private readonly barriers = new Map<number, Waiter<number>>();
  private applyWaiters: ApplyWaiter[] = [];

  proposal(start: (ticket: number) => void): Promise<CommandResult> {
    return new Promise((resolve, reject) => {
      const ticket = this.nextTicket++;
      this.proposals.set(ticket, {resolve, reject});
      start(ticket);
    });
  }

  /** Resolves with the index that is safe to read at. */
  barrier(start: (ticket: number) => void): Promise<number> {
    return new Promise((resolve, reject) => {
      const ticket = this.nextTicket++;
      this.barriers.set(ticket, {resolve, reject});
      start(ticket);
    });
  }

  /** Resolves once `index` is applied; rejects with `late` after a while. */
  applied(index: number, timeoutMs: number, late: Error): Promise<void> {
    return new Promise((resolve, reject) => {
      const waiter = {index, resolve, reject};
      this.applyWaiters.push(waiter);
      const timer = setTimeout(() => {
        this.applyWaiters = this.applyWaiters.filter(one => one !== waiter);
        reject(late);
      }, timeoutMs);
      timer.unref();
    });
  }

  place(ticket: number, index: number): void {
    const waiter = this.proposals.get(ticket);
    if (waiter === undefined) return;
    this.proposals.delete(ticket);
    this.placed.set(index, waiter);
  }

  refuse(ticket: number, err: unknown): void {
    this.proposals.get(ticket)?.reject(err);
    this.proposals.delete(ticket);
    this.barriers.get(ticket)?.reject(err);
    this.barriers.delete(ticket);
  }

  ready(ticket: number, index: number): void {
    this.barriers.get(ticket)?.resolve(index);
    this.barriers.delete(ticket);
  }

  resolveAt(index: number, result: CommandResult): void {
    this.placed.get(index)?.resolve(result);
    this.placed.delete(index);
  }

  reached(index: number): void {
    const due = this.applyWaiters.filter(waiter => waiter.index <= index);
    if (due.length === 0) return;
    this.applyWaiters = this.applyWaiters.filter(
      waiter => waiter.index > index
    );
    for (const waiter of due) waiter.resolve();
  }

  /** Proposals in the log whose outcome will not be known here. */
  rejectPlaced(err: unknown): void {
    const waiters = [...this.placed.values()];
    this.placed.clear();
    for (const waiter of waiters) waiter.reject(err);
  }

  rejectAll(err: unknown): void {
    this.rejectPlaced(err);
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
