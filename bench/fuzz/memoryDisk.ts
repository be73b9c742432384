/** A disk in memory that loses what was not synced when its process dies. */

import type {DurableState, LogWrite} from '../../src/control/log/entry';

interface QueuedWrite {
  readonly seq: number;
  readonly writes: readonly LogWrite[];
  readonly dueAt: number;
}

/** Durable state and the writes that are not yet part of it. */
export class MemoryDisk {
  durable: DurableState | undefined;
  private queue: readonly QueuedWrite[] = [];
  /** Longest durable log while a term was the durable one. */
  private readonly lengths = new Map<number, number>();

  write(seq: number, writes: readonly LogWrite[], dueAt: number): void {
    const earliest = this.queue.at(-1)?.dueAt ?? 0;
    const queued = {seq, writes, dueAt: Math.max(dueAt, earliest)};
    this.queue = [...this.queue, queued];
  }

  /** Makes durable what is due; returns the number of the last such write. */
  sync(now: number): number | undefined {
    const due = this.queue.filter(({dueAt}) => dueAt <= now);
    this.queue = this.queue.filter(({dueAt}) => dueAt > now);
    this.take(due.flatMap(({writes}) => writes));
    return due.at(-1)?.seq;
  }

  /** Loses the queue, except the first `kept` changes that got through. */
  crash(kept: number): void {
    this.take(this.queue.flatMap(({writes}) => writes).slice(0, kept));
    this.queue = [];
  }

  wipe(): void {
    this.durable = undefined;
    this.queue = [];
    this.lengths.clear();
  }

  /** Last index that was durable at some moment of a term. */
  lengthIn(term: number): number {
    return this.lengths.get(term) ?? 0;
  }

  private take(writes: readonly LogWrite[]): void {
    for (const write of writes) {
      this.durable = changed(this.durable, write);
      const {term} = this.durable.hard;
      const length = lastIndexOf(this.durable);
      this.lengths.set(term, Math.max(length, this.lengthIn(term)));
    }
  }
}

/** The durable state after one change. */
export function changed(
  state: DurableState | undefined,
  write: LogWrite
): DurableState {
  if (write.kind === 'hardState')
    return {
      ...(state ?? {base: {index: 0, term: 0}, entries: []}),
      hard: write.hard,
    };
  if (state === undefined) throw new Error('entries without a hard state');
  if (write.kind === 'append') {
    const from = write.entries[0]?.index ?? Infinity;
    const before = state.entries.filter(({index}) => index < from);
    return {...state, entries: [...before, ...write.entries]};
  }
  const {snapshot, keepAfter, resetLog} = write;
  const entries = resetLog
    ? []
    : state.entries.filter(({index}) => index > keepAfter.index);
  return {...state, snapshot, base: keepAfter, entries};
}

/** Index of the last entry in a durable state. */
export function lastIndexOf(state: DurableState): number {
  return state.base.index + state.entries.length;
}
