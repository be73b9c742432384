/** Rebuilds the log from the records of its segments. */

import type {LogEntry, LogPosition, LogSnapshot} from './entry';

/** A record in a segment file. */
export type SegmentRecord =
  /** First record of each segment: the position before its first entry. */
  | {readonly kind: 'segment'; readonly prev: LogPosition}
  /** Each entry replaces all earlier ones from its index on. */
  | {readonly kind: 'entries'; readonly entries: readonly LogEntry[]};

/** The log as rebuilt so far. */
export class SegmentReplay {
  private base: LogPosition = {index: 0, term: 0};
  private entries: LogEntry[] = [];
  private broken = false;

  get lastPosition(): LogPosition {
    const {index, term} = this.entries.at(-1) ?? this.base;
    return {index, term};
  }

  add(record: SegmentRecord): void {
    if (record.kind === 'segment') {
      this.startSegment(record.prev);
      return;
    }
    for (const entry of record.entries) this.addEntry(entry);
  }

  /**
   * The log that goes with the snapshot, or undefined if entries are missing.
   */
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
    // The entries belong to a history that the snapshot replaced. A crash
    // prevented their removal.
    return {base: {index, term}, entries: []};
  }

  private addEntry(entry: LogEntry): void {
    const offset = entry.index - this.base.index - 1;
    this.broken ||= offset > this.entries.length;
    if (this.broken) return;
    if (offset < 0) {
      // It replaced entries of a segment that a later snapshot made obsolete.
      this.base = {index: entry.index, term: entry.term};
      this.entries = [];
      return;
    }
    this.entries.length = offset;
    this.entries.push(entry);
  }

  private startSegment(prev: LogPosition): void {
    const {index, term} = this.lastPosition;
    if (prev.index === index && prev.term === term) return;
    this.base = prev;
    this.entries = [];
  }

  private termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entries[index - this.base.index - 1]?.term;
  }
}
