/** Records of targets that announced themselves at this node, for the leader. */

import type {TargetRecord} from '../site/announcement';

/** A few heartbeats: a target that is here has told some node since. */
const READY_MS = 5_000;
/** That a target leaves must not be lost with the leader that knew it. */
const LEAVING_MS = 60_000;

interface Heard {
  readonly record: TargetRecord;
  readonly atMs: number;
}

/** What the leader is to be told. */
export class HeardRecords {
  private unsent = new Map<string, TargetRecord>();
  private readonly recent = new Map<string, Heard>();

  /** Notes what a target told this node. */
  note(record: TargetRecord, nowMs: number): void {
    this.unsent.set(record.id, record);
    // In the order of time, the oldest first.
    this.recent.delete(record.id);
    this.recent.set(record.id, {record, atMs: nowMs});
    this.forgetOld(nowMs);
  }

  private forgetOld(nowMs: number): void {
    for (const [id, {atMs}] of this.recent) {
      if (nowMs - atMs <= LEAVING_MS) return;
      this.recent.delete(id);
    }
  }

  /** Records that the leader was not told yet. */
  take(): readonly TargetRecord[] {
    const records = [...this.unsent.values()];
    this.unsent = new Map();
    return records;
  }

  /** Takes back what the leader may not have received. */
  putBack(records: readonly TargetRecord[]): void {
    for (const record of records)
      if (!this.unsent.has(record.id)) this.unsent.set(record.id, record);
  }

  /** Tells a new leader what was heard here lately; other nodes tell the rest. */
  tellAgain(nowMs: number): void {
    for (const [id, {record, atMs}] of this.recent) {
      const keptMs = record.state === 'ready' ? READY_MS : LEAVING_MS;
      if (nowMs - atMs > keptMs) this.recent.delete(id);
      else this.putBack([record]);
    }
  }
}
