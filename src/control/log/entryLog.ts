/** The in-memory log: entries, latest snapshot and configurations. */

import type {
  Configuration,
  DurableState,
  LogEntry,
  LogPosition,
  LogSnapshot,
} from './entry';

const NO_CONFIGURATION: Configuration = {voters: []};

interface IndexedConfiguration {
  readonly index: number;
  readonly configuration: Configuration;
}

/** The entries after a base position. Indexes are absolute log indexes. */
export class EntryLog {
  private entries: LogEntry[];
  private base: LogPosition;
  private latestSnapshot: LogSnapshot | undefined;
  private configurations: readonly IndexedConfiguration[];

  constructor(state: Omit<DurableState, 'hard'>) {
    this.entries = [...state.entries];
    this.base = state.base;
    this.latestSnapshot = state.snapshot;
    this.configurations = configurationsIn(state.entries);
  }

  get snapshot(): LogSnapshot | undefined {
    return this.latestSnapshot;
  }

  /** Index directly before the first retained entry. */
  get baseIndex(): number {
    return this.base.index;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  /** Term at an index, or undefined if the entry is compacted or absent. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  /** At most `limit` entries, starting at index `from`. */
  slice(from: number, limit: number): readonly LogEntry[] {
    const start = from - this.base.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Entries with `after` < index <= `upTo`. */
  between(after: number, upTo: number): readonly LogEntry[] {
    return this.slice(after + 1, upTo - after);
  }

  /** Appends entries, replacing all from the first one's index on. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    this.entries.length = first.index - this.base.index - 1;
    this.entries.push(...entries);
    this.configurations = [
      ...this.configurations.filter(({index}) => index < first.index),
      ...configurationsIn(entries),
    ];
  }

  /** Lowest retained index with the same term as the entry at `index`. */
  firstIndexOfTerm(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first > this.base.index + 1 && this.termAt(first - 1) === term)
      first--;
    return first;
  }

  /** The latest configuration up to `upTo`, committed or not, and its index. */
  configuration(upTo = this.lastIndex): IndexedConfiguration {
    const found = this.configurations.findLast(({index}) => index <= upTo);
    return (
      found ?? {
        index: this.latestSnapshot?.index ?? 0,
        configuration: this.latestSnapshot?.configuration ?? NO_CONFIGURATION,
      }
    );
  }

  /** Stores a snapshot of the local state and drops entries up to `base`. */
  compact(snapshot: LogSnapshot, base: LogPosition): void {
    this.latestSnapshot = snapshot;
    this.entries.splice(0, base.index - this.base.index);
    this.base = base;
  }

  /** Replaces the whole log by a snapshot from the leader. */
  reset(snapshot: LogSnapshot): void {
    this.latestSnapshot = snapshot;
    this.entries = [];
    this.configurations = [];
    this.base = {index: snapshot.index, term: snapshot.term};
  }

  private entryAt(index: number): LogEntry | undefined {
    return index > this.base.index
      ? this.entries[index - this.base.index - 1]
      : undefined;
  }
}

function configurationsIn(
  entries: readonly LogEntry[]
): readonly IndexedConfiguration[] {
  return entries.flatMap(({index, body}) =>
    body.kind === 'configuration'
      ? [{index, configuration: body.configuration}]
      : []
  );
}
