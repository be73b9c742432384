/** Records of targets that announced themselves at this node, for the leader. */

import type {TargetRecord} from '../site/announcement';

/** A few heartbeats: a target that is here has told some node since. */
const RESEND_READY_FOR_MS = 5_000;
/** That a target leaves must not be lost with the leader that knew it. */
const RESEND_LEAVING_FOR_MS = 60_000;

interface TimedRecord {
  readonly record: TargetRecord;
  readonly atMs: number;
}

/** What the leader is to be told. */
export class LocalAnnouncements {
  private unsent = new Map<string, TargetRecord>();
  private readonly recent = new Map<string, TimedRecord>();

  /** Notes what a target told this node. */
  add(record: TargetRecord, nowMs: number): void {
    this.unsent.set(record.id, record);
    // In the order of time, the oldest first.
    this.recent.delete(record.id);
    this.recent.set(record.id, {record, atMs: nowMs});
    this.evictOld(nowMs);
  }

  private evictOld(nowMs: number): void {
    for (const [id, {atMs}] of this.recent) {
      if (nowMs - atMs <= RESEND_LEAVING_FOR_MS) return;
      this.recent.delete(id);
    }
  }

  /** Records that the leader was not told yet. */
  takeUnsent(): readonly TargetRecord[] {
    const records = [...this.unsent.values()];
    this.unsent = new Map();
    return records;
  }

  /** Takes back what the leader may not have received. */
  requeue(records: readonly TargetRecord[]): void {
    for (const record of records)
      if (!this.unsent.has(record.id)) this.unsent.set(record.id, record);
  }

  /** Tells a new leader what was heard here lately; other nodes tell the rest. */
  requeueRecent(nowMs: number): void {
    for (const [id, {record, atMs}] of this.recent) {
      const resendForMs =
        record.state === 'ready' ? RESEND_READY_FOR_MS : RESEND_LEAVING_FOR_MS;
      if (nowMs - atMs > resendForMs) this.recent.delete(id);
      else this.requeue([record]);
    }
  }
}
