/** Records of targets that announced themselves to this node, for the leader. */

import type {TargetRecord} from '../site/announcement';
import {MAX_TARGETS} from '../site/announcement';

/**
 * Age up to which a ready target is reported to a new leader. A few heartbeats
 * suffice: a target that is alive has announced itself to some node since.
 */
const RESEND_READY_FOR_MS = 5_000;
/**
 * Age up to which a departure is reported to a new leader. It must not be lost
 * with the leader that knew of it.
 */
const RESEND_LEAVING_FOR_MS = 60_000;

/** Bounds a report; the others follow with the next one. */
const MAX_RECORDS_IN_REPORT = 2_000;

interface TimedRecord {
  readonly record: TargetRecord;
  readonly atMs: number;
}

/** Records to send with the next report, and recent ones for a new leader. */
export class LocalAnnouncements {
  private readonly unsent = new Map<string, TargetRecord>();
  private readonly recent = new Map<string, TimedRecord>();

  /** Adds the record of an announcement that this node received. */
  add(record: TargetRecord, nowMs: number): void {
    this.unsent.set(record.id, record);
    evictOldest(this.unsent);
    // Reinserted at the end: `evictOld` expects the oldest first.
    this.recent.delete(record.id);
    this.recent.set(record.id, {record, atMs: nowMs});
    evictOldest(this.recent);
    this.evictOld(nowMs);
  }

  private evictOld(nowMs: number): void {
    for (const [id, {atMs}] of this.recent) {
      if (nowMs - atMs <= RESEND_LEAVING_FOR_MS) return;
      this.recent.delete(id);
    }
  }

  /** Takes out records that were not sent to the leader yet, as many as a report may have. */
  takeUnsent(): readonly TargetRecord[] {
    const records = [...this.unsent.values()].slice(0, MAX_RECORDS_IN_REPORT);
    for (const {id} of records) this.unsent.delete(id);
    return records;
  }

  /** Queues records that the leader may not have received, unless outdated. */
  requeue(records: readonly TargetRecord[]): void {
    for (const record of records)
      if (!this.unsent.has(record.id)) this.unsent.set(record.id, record);
  }

  /** Queues recent records for a new leader; other nodes send theirs. */
  requeueRecent(nowMs: number): void {
    for (const [id, {record, atMs}] of this.recent) {
      const resendForMs =
        record.state === 'ready' ? RESEND_READY_FOR_MS : RESEND_LEAVING_FOR_MS;
      if (nowMs - atMs > resendForMs) this.recent.delete(id);
      else this.requeue([record]);
    }
  }
}

/** Bounds the records, the oldest of which come first. */
function evictOldest(records: Map<string, unknown>): void {
  const [oldest] = records.keys();
  if (records.size > MAX_TARGETS && oldest !== undefined)
    records.delete(oldest);
}
