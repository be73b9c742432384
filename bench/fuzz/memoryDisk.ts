/** A disk in memory that loses unsynced writes when its process dies. */

import type {DurableState, LogWrite} from '../../src/control/log/entry';

interface QueuedWrite {
  readonly seq: number;
  readonly writes: readonly LogWrite[];
  readonly dueAt: number;
}

/** Durable state and the queue of unsynced writes. */
export class MemoryDisk {
  durable: DurableState | undefined;
  private queue: readonly QueuedWrite[] = [];
  /** Highest index that the durable log had during a term, by term. */
  private readonly longestLogByTerm = new Map<number, number>();

  write(seq: number, writes: readonly LogWrite[], dueAt: number): void {
    const earliest = this.queue.at(-1)?.dueAt ?? 0;
    const queued = {seq, writes, dueAt: Math.max(dueAt, earliest)};
    this.queue = [...this.queue, queued];
  }

  /** When a write that is queued now becomes durable, if queued writes share a sync. */
  nextSyncAt(now: number, syncMs: number): number {
    const running = this.queue.at(0)?.dueAt;
    const last = this.queue.at(-1)?.dueAt;
    if (running === undefined || last === undefined) return now + syncMs;
    return last > running ? last : running + syncMs;
  }

  /** Makes due writes durable; returns the sequence number of the last one. */
  sync(now: number): number | undefined {
    const due = this.queue.filter(({dueAt}) => dueAt <= now);
    this.queue = this.queue.filter(({dueAt}) => dueAt > now);
    this.makeDurable(due.flatMap(({writes}) => writes));
    return due.at(-1)?.seq;
  }

  /** Drops the queue, except its first `kept` writes, which become durable. */
  crash(kept: number): void {
    this.makeDurable(this.queue.flatMap(({writes}) => writes).slice(0, kept));
    this.queue = [];
  }

  wipe(): void {
    this.durable = undefined;
    this.queue = [];
    this.longestLogByTerm.clear();
  }

  /** Highest index that was durable at any time during a term. */
  longestLogIn(term: number): number {
    return this.longestLogByTerm.get(term) ?? 0;
  }

  private makeDurable(writes: readonly LogWrite[]): void {
    for (const write of writes) {
      this.durable = applyWrite(this.durable, write);
      const {term} = this.durable.hard;
      const length = lastIndexOf(this.durable);
      this.longestLogByTerm.set(
        term,
        Math.max(length, this.longestLogIn(term))
      );
    }
  }
}

/** Returns the durable state after one write. */
export function applyWrite(
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

/** Index of the last log entry in a durable state. */
export function lastIndexOf(state: DurableState): number {
  return state.base.index + state.entries.length;
}
