/** Rebuilds the log from the records of its segments. */

import type {LogEntry, LogPosition, LogSnapshot} from './entry';

/** A record in a segment file. */
export type SegmentRecord =
  /** First in each segment: the position before its first entry. */
  | {readonly kind: 'segment'; readonly prev: LogPosition}
  /** Each entry replaces everything from its index on. */
  | {readonly kind: 'entries'; readonly entries: readonly LogEntry[]};

/** A log that grows by records. */
export class SegmentFold {
  private base: LogPosition = {index: 0, term: 0};
  private entries: LogEntry[] = [];
  private broken = false;

  get last(): LogPosition {
    const {index, term} = this.entries.at(-1) ?? this.base;
    return {index, term};
  }

  add(record: SegmentRecord): void {
    if (record.kind === 'segment') {
      this.continueFrom(record.prev);
      return;
    }
    for (const entry of record.entries) this.addEntry(entry);
  }

  /** The log after a snapshot, or undefined when a part between is missing. */
  finish(snapshot: LogSnapshot | undefined):
    | {
        readonly base: LogPosition;
        readonly entries: readonly LogEntry[];
      }
    | undefined {
    const {index, term} = snapshot ?? {index: 0, term: 0};
    if (this.broken || this.base.index > index) return undefined;
    if (this.termAt(index) === term)
      return {base: this.base, entries: this.entries};
    // The snapshot replaced a history that is not ours; a crash came before
    // its entries were removed.
    return {base: {index, term}, entries: []};
  }

  private addEntry(entry: LogEntry): void {
    const at = entry.index - this.base.index - 1;
    this.broken ||= at > this.entries.length;
    if (this.broken) return;
    if (at < 0) {
      // It replaced entries of a segment that a snapshot has since covered.
      this.base = {index: entry.index, term: entry.term};
      this.entries = [];
      return;
    }
    this.entries.length = at;
    this.entries.push(entry);
  }

  private continueFrom(prev: LogPosition): void {
    const {index, term} = this.last;
    if (prev.index === index && prev.term === term) return;
    this.base = prev;
    this.entries = [];
  }

  private termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entries[index - this.base.index - 1]?.term;
  }
}
