/** The entries in memory, and the configuration that they put in force. */

import type {
  Configuration,
  DurableState,
  LogEntry,
  LogPosition,
  LogSnapshot,
} from './entry';

const NO_CONFIGURATION: Configuration = {voters: []};

interface PlacedConfiguration {
  readonly index: number;
  readonly configuration: Configuration;
}

/** Entries after a base position; indexes are those of the whole log. */
export class EntryLog {
  private entries: LogEntry[];
  private base: LogPosition;
  private held: LogSnapshot | undefined;
  private configurations: readonly PlacedConfiguration[];

  constructor(state: Omit<DurableState, 'hard'>) {
    this.entries = [...state.entries];
    this.base = state.base;
    this.held = state.snapshot;
    this.configurations = placed(state.entries);
  }

  get snapshot(): LogSnapshot | undefined {
    return this.held;
  }

  /** Index before the first entry held. */
  get baseIndex(): number {
    return this.base.index;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  /** Term at an index, or undefined where nothing is known any more. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  /** Entries from `from` on, at most `limit`. */
  slice(from: number, limit: number): readonly LogEntry[] {
    const start = from - this.base.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Entries after `after` up to `upTo`. */
  between(after: number, upTo: number): readonly LogEntry[] {
    return this.slice(after + 1, upTo - after);
  }

  /** Puts the entries in place of everything from the first one's index on. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    this.entries.length = first.index - this.base.index - 1;
    this.entries.push(...entries);
    this.configurations = [
      ...this.configurations.filter(({index}) => index < first.index),
      ...placed(entries),
    ];
  }

  /** First index that has the same term as the entry at `index`. */
  firstOfTerm(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first > this.base.index + 1 && this.termAt(first - 1) === term)
      first--;
    return first;
  }

  /** The last configuration in the log, committed or not, and its index. */
  configuration(upTo = this.lastIndex): PlacedConfiguration {
    const found = this.configurations.findLast(({index}) => index <= upTo);
    return (
      found ?? {
        index: this.held?.index ?? 0,
        configuration: this.held?.configuration ?? NO_CONFIGURATION,
      }
    );
  }

  /** Takes a snapshot of our own state in, and drops entries up to `base`. */
  compact(snapshot: LogSnapshot, base: LogPosition): void {
    this.held = snapshot;
    this.entries.splice(0, base.index - this.base.index);
    this.base = base;
  }

  /** Replaces the whole history by a snapshot. */
  reset(snapshot: LogSnapshot): void {
    this.held = snapshot;
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

function placed(entries: readonly LogEntry[]): readonly PlacedConfiguration[] {
  return entries.flatMap(({index, body}) =>
    body.kind === 'configuration'
      ? [{index, configuration: body.configuration}]
      : []
  );
}
