/**
 * Durable state in one directory: `state` (term, vote, incarnation), `snapshot`
 * and append-only log segments. A write is acknowledged only after a sync. The
 * directory is synced after each creation, rename or removal; otherwise a crash
 * could bring the old file back.
 */

import path from 'node:path';
import {StorageError} from '../../core/errors';
import type {AppendFile, DiskFiles} from './diskFiles';
import type {
  HardState,
  LogEntry,
  LogPosition,
  LogSnapshot,
  LogWrite,
} from './entry';
import {encodeFrame, scanFrames} from './frame';
import type {LoadResult, LogStorage} from './logStorage';
import type {SegmentRecord} from './segmentReplay';
import {SegmentReplay} from './segmentReplay';

const STATE_FILE = 'state';
const SNAPSHOT_FILE = 'snapshot';
const TEMPORARY_SUFFIX = '.tmp';
const SEGMENT_PATTERN = /^log-(\d{8})$/;
const DEFAULT_SEGMENT_BYTES = 4 << 20;

interface Segment {
  readonly number: number;
  /** Highest entry index in the segment. */
  lastIndex: number;
  bytes: number;
}

class DamagedLog extends Error {}

/** Log storage on the local disk. */
export class DiskStorage implements LogStorage {
  private readonly dir: string;
  private readonly damagedDir: string;
  private segments: Segment[] = [];
  private activeFile: AppendFile | undefined;
  private lastPosition: LogPosition = {index: 0, term: 0};
  private failed = false;
  private writtenBytes = 0;

  constructor(
    private readonly files: DiskFiles,
    private readonly dataDir: string,
    private readonly segmentBytes = DEFAULT_SEGMENT_BYTES
  ) {
    this.dir = path.join(dataDir, 'log');
    this.damagedDir = path.join(dataDir, 'log-damaged');
  }

  get bytesSinceSnapshot(): number {
    return this.writtenBytes;
  }

  async load(): Promise<LoadResult> {
    return this.guard('load', async () => {
      await this.files.makeDir(this.dir);
      await this.files.syncDir(path.dirname(this.dataDir));
      await this.files.syncDir(this.dataDir);
      try {
        return await this.loadState();
      } catch (err) {
        if (err instanceof DamagedLog)
          return {kind: 'damaged', detail: err.message};
        throw err;
      }
    });
  }

  async write(writes: readonly LogWrite[]): Promise<void> {
    await this.guard('write', async () => {
      let entries: LogEntry[] = [];
      for (const write of writes) {
        if (write.kind === 'append') {
          entries.push(...write.entries);
          continue;
        }
        await this.writeEntries(entries);
        entries = [];
        if (write.kind === 'hardState')
          await this.replaceFile(STATE_FILE, write.hard);
        else await this.writeSnapshot(write);
      }
      await this.writeEntries(entries);
    });
  }

  async setAside(): Promise<void> {
    await this.guard('setAside', async () => {
      await this.activeFile?.close();
      this.activeFile = undefined;
      this.segments = [];
      this.lastPosition = {index: 0, term: 0};
      this.writtenBytes = 0;
      await this.files.remove(this.damagedDir);
      await this.files.rename(this.dir, this.damagedDir);
      await this.files.makeDir(this.dir);
      await this.files.syncDir(this.dataDir);
    });
  }

  async close(): Promise<void> {
    await this.activeFile?.close();
    this.activeFile = undefined;
  }

  /**
   * Runs an operation and turns its failure into a StorageError. After a
   * failure the state of the disk is unknown, so all later operations fail at
   * once.
   */
  private async guard<T>(step: string, run: () => Promise<T>): Promise<T> {
    if (this.failed)
      throw new StorageError(step, this.dir, 'an earlier operation failed');
    try {
      return await run();
    } catch (err) {
      this.failed = true;
      throw new StorageError(step, this.dir, String(err));
    }
  }

  private async loadState(): Promise<LoadResult> {
    const names = await this.files.list(this.dir);
    for (const name of names.filter(name => name.endsWith(TEMPORARY_SUFFIX)))
      await this.files.remove(path.join(this.dir, name));
    const replay = await this.readSegments(segmentNumbers(names));
    const snapshot = (await this.readRecordFile(SNAPSHOT_FILE)) as
      LogSnapshot | undefined;
    const hard = (await this.readRecordFile(STATE_FILE)) as
      HardState | undefined;
    if (hard === undefined) {
      if (snapshot === undefined && replay.lastPosition.index === 0)
        return {kind: 'empty'};
      throw new DamagedLog(
        `the file "${STATE_FILE}" is missing although log files exist`
      );
    }
    const log = replay.finish(snapshot);
    if (log === undefined)
      throw new DamagedLog(
        `entries are missing between or before the log segments`
      );
    const {index, term} = log.entries.at(-1) ?? log.base;
    this.lastPosition = {index, term};
    return {kind: 'state', state: {hard, snapshot, ...log}};
  }

  private async readSegments(
    numbers: readonly number[]
  ): Promise<SegmentReplay> {
    const replay = new SegmentReplay();
    for (const [position, number] of numbers.entries()) {
      const isLast = position === numbers.length - 1;
      await this.readSegment(number, isLast, replay);
    }
    return replay;
  }

  private async readSegment(
    number: number,
    isLast: boolean,
    replay: SegmentReplay
  ): Promise<void> {
    const file = this.segmentPath(number);
    const content = (await this.files.read(file)) ?? Buffer.alloc(0);
    const {payloads, end} = scanFrames(content);
    if (end.kind === 'damaged' || (end.kind === 'torn' && !isLast))
      throw new DamagedLog(`${file} is ${end.kind} at byte ${end.atByte}`);
    // A truncated last record was never synced, so it was never acknowledged.
    if (end.kind === 'torn') await this.files.truncate(file, end.atByte);
    for (const payload of payloads) replay.add(payload as SegmentRecord);
    const bytes = content.length;
    this.segments.push({number, lastIndex: replay.lastPosition.index, bytes});
    this.writtenBytes += bytes;
  }

  private async readRecordFile(name: string): Promise<unknown> {
    const file = path.join(this.dir, name);
    const content = await this.files.read(file);
    if (content === undefined) return undefined;
    const {payloads, end} = scanFrames(content);
    if (end.kind !== 'whole' || payloads.length !== 1)
      throw new DamagedLog(`${file} is damaged`);
    return payloads[0];
  }

  /**
   * Writes all entries as one record, so that at most one record is unsynced.
   */
  private async writeEntries(entries: readonly LogEntry[]): Promise<void> {
    const last = entries.at(-1);
    if (last === undefined) return;
    const segment = this.segments.at(-1);
    if (
      this.activeFile === undefined ||
      (segment?.bytes ?? 0) > this.segmentBytes
    )
      await this.startSegment();
    await this.appendRecord({kind: 'entries', entries});
    this.lastPosition = {index: last.index, term: last.term};
    const activeSegment = this.segments.at(-1);
    if (activeSegment === undefined) return;
    for (const {index} of entries)
      activeSegment.lastIndex = Math.max(activeSegment.lastIndex, index);
  }

  private async appendRecord(record: SegmentRecord): Promise<void> {
    const frame = encodeFrame(record);
    await this.activeFile?.append(frame);
    await this.activeFile?.sync();
    const segment = this.segments.at(-1);
    if (segment !== undefined) segment.bytes += frame.length;
    this.writtenBytes += frame.length;
  }

  private async startSegment(): Promise<void> {
    await this.activeFile?.close();
    const number = (this.segments.at(-1)?.number ?? 0) + 1;
    this.activeFile = await this.files.openAppend(this.segmentPath(number));
    this.segments.push({number, lastIndex: 0, bytes: 0});
    await this.appendRecord({kind: 'segment', prev: this.lastPosition});
    await this.files.syncDir(this.dir);
  }

  private async writeSnapshot(
    write: Extract<LogWrite, {kind: 'snapshot'}>
  ): Promise<void> {
    await this.replaceFile(SNAPSHOT_FILE, write.snapshot);
    if (write.resetLog) this.lastPosition = write.keepAfter;
    await this.startSegment();
    this.writtenBytes = 0;
    const upTo = write.resetLog ? Infinity : write.keepAfter.index;
    while (this.segments.length > 1) {
      const oldest = this.segments[0];
      if (oldest === undefined || oldest.lastIndex > upTo) break;
      await this.files.remove(this.segmentPath(oldest.number));
      this.segments.shift();
    }
    await this.files.syncDir(this.dir);
  }

  /**
   * Replaces a file atomically. After a crash either the old or the new content
   * is there, never a mixture.
   */
  private async replaceFile(name: string, payload: unknown): Promise<void> {
    const file = path.join(this.dir, name);
    await this.files.remove(file + TEMPORARY_SUFFIX);
    const temporary = await this.files.openAppend(file + TEMPORARY_SUFFIX);
    try {
      await temporary.append(encodeFrame(payload));
      await temporary.sync();
    } finally {
      await temporary.close();
    }
    await this.files.rename(file + TEMPORARY_SUFFIX, file);
    await this.files.syncDir(this.dir);
  }

  private segmentPath(number: number): string {
    return path.join(this.dir, `log-${String(number).padStart(8, '0')}`);
  }
}

function segmentNumbers(names: readonly string[]): readonly number[] {
  return names
    .flatMap(name => SEGMENT_PATTERN.exec(name)?.[1] ?? [])
    .map(Number)
    .sort((a, b) => a - b);
}
