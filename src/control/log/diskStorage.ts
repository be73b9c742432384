/**
 * Durable state in one folder: `state` (term, vote, incarnation), `snapshot`,
 * and log segments that only grow. Every write is synced before it counts;
 * a folder is synced after each change of its names, or a crash could bring
 * the old file back.
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
import type {SegmentRecord} from './segmentFold';
import {SegmentFold} from './segmentFold';

const STATE_FILE = 'state';
const SNAPSHOT_FILE = 'snapshot';
const TEMPORARY = '.tmp';
const SEGMENT_PATTERN = /^log-(\d{8})$/;
const DEFAULT_SEGMENT_BYTES = 4 << 20;

interface Segment {
  readonly number: number;
  /** Highest index in it. */
  lastIndex: number;
  bytes: number;
}

class Damage extends Error {}

/** The log's storage on a disk. */
export class DiskStorage implements LogStorage {
  private readonly dir: string;
  private readonly asideDir: string;
  private segments: Segment[] = [];
  private active: AppendFile | undefined;
  private last: LogPosition = {index: 0, term: 0};
  private failed = false;
  private bytes = 0;

  constructor(
    private readonly files: DiskFiles,
    private readonly dataDir: string,
    private readonly segmentBytes = DEFAULT_SEGMENT_BYTES
  ) {
    this.dir = path.join(dataDir, 'log');
    this.asideDir = path.join(dataDir, 'log-damaged');
  }

  get bytesSinceSnapshot(): number {
    return this.bytes;
  }

  async load(): Promise<LoadResult> {
    return this.guard('load', async () => {
      await this.files.makeDir(this.dir);
      await this.files.syncDir(path.dirname(this.dataDir));
      await this.files.syncDir(this.dataDir);
      try {
        return await this.readAll();
      } catch (err) {
        if (err instanceof Damage)
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
      await this.active?.close();
      this.active = undefined;
      this.segments = [];
      this.last = {index: 0, term: 0};
      this.bytes = 0;
      await this.files.remove(this.asideDir);
      await this.files.rename(this.dir, this.asideDir);
      await this.files.makeDir(this.dir);
      await this.files.syncDir(this.dataDir);
    });
  }

  async close(): Promise<void> {
    await this.active?.close();
    this.active = undefined;
  }

  /** After one failure nothing is known about the disk: never try again. */
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

  private async readAll(): Promise<LoadResult> {
    const names = await this.files.list(this.dir);
    for (const name of names.filter(name => name.endsWith(TEMPORARY)))
      await this.files.remove(path.join(this.dir, name));
    const fold = await this.readSegments(segmentNumbers(names));
    const snapshot = (await this.readSingle(SNAPSHOT_FILE)) as
      LogSnapshot | undefined;
    const hard = (await this.readSingle(STATE_FILE)) as HardState | undefined;
    if (hard === undefined) {
      if (snapshot === undefined && fold.last.index === 0)
        return {kind: 'empty'};
      throw new Damage(`${STATE_FILE} is missing beside a log`);
    }
    const log = fold.finish(snapshot);
    if (log === undefined) throw new Damage(`entries are missing`);
    const {index, term} = log.entries.at(-1) ?? log.base;
    this.last = {index, term};
    return {kind: 'state', state: {hard, snapshot, ...log}};
  }

  private async readSegments(numbers: readonly number[]): Promise<SegmentFold> {
    const fold = new SegmentFold();
    for (const [at, number] of numbers.entries()) {
      const isLast = at === numbers.length - 1;
      await this.readSegment(number, isLast, fold);
    }
    return fold;
  }

  private async readSegment(
    number: number,
    isLast: boolean,
    fold: SegmentFold
  ): Promise<void> {
    const file = this.segmentPath(number);
    const content = (await this.files.read(file)) ?? Buffer.alloc(0);
    const {payloads, end} = scanFrames(content);
    if (end.kind === 'damaged' || (end.kind === 'torn' && !isLast))
      throw new Damage(`${file} is ${end.kind} at byte ${end.atByte}`);
    // A record that was cut off was never synced, so never acknowledged.
    if (end.kind === 'torn') await this.files.truncate(file, end.atByte);
    for (const payload of payloads) fold.add(payload as SegmentRecord);
    const bytes = content.length;
    this.segments.push({number, lastIndex: fold.last.index, bytes});
    this.bytes += bytes;
  }

  private async readSingle(name: string): Promise<unknown> {
    const file = path.join(this.dir, name);
    const content = await this.files.read(file);
    if (content === undefined) return undefined;
    const {payloads, end} = scanFrames(content);
    if (end.kind !== 'whole' || payloads.length !== 1)
      throw new Damage(`${file} is damaged`);
    return payloads[0];
  }

  /** One record for the whole group, so at most one record is ever unsynced. */
  private async writeEntries(entries: readonly LogEntry[]): Promise<void> {
    const last = entries.at(-1);
    if (last === undefined) return;
    const segment = this.segments.at(-1);
    if (this.active === undefined || (segment?.bytes ?? 0) > this.segmentBytes)
      await this.startSegment();
    await this.appendRecord({kind: 'entries', entries});
    this.last = {index: last.index, term: last.term};
    const active = this.segments.at(-1);
    if (active === undefined) return;
    for (const {index} of entries)
      active.lastIndex = Math.max(active.lastIndex, index);
  }

  private async appendRecord(record: SegmentRecord): Promise<void> {
    const frame = encodeFrame(record);
    await this.active?.append(frame);
    await this.active?.sync();
    const segment = this.segments.at(-1);
    if (segment !== undefined) segment.bytes += frame.length;
    this.bytes += frame.length;
  }

  private async startSegment(): Promise<void> {
    await this.active?.close();
    const number = (this.segments.at(-1)?.number ?? 0) + 1;
    this.active = await this.files.openAppend(this.segmentPath(number));
    this.segments.push({number, lastIndex: 0, bytes: 0});
    await this.appendRecord({kind: 'segment', prev: this.last});
    await this.files.syncDir(this.dir);
  }

  private async writeSnapshot(
    write: Extract<LogWrite, {kind: 'snapshot'}>
  ): Promise<void> {
    await this.replaceFile(SNAPSHOT_FILE, write.snapshot);
    if (write.resetLog) this.last = write.keepAfter;
    await this.startSegment();
    this.bytes = 0;
    const upTo = write.resetLog ? Infinity : write.keepAfter.index;
    while (this.segments.length > 1) {
      const oldest = this.segments[0];
      if (oldest === undefined || oldest.lastIndex > upTo) break;
      await this.files.remove(this.segmentPath(oldest.number));
      this.segments.shift();
    }
    await this.files.syncDir(this.dir);
  }

  /** Replaces a file whole: either the old or the new one is ever seen. */
  private async replaceFile(name: string, payload: unknown): Promise<void> {
    const file = path.join(this.dir, name);
    await this.files.remove(file + TEMPORARY);
    const temporary = await this.files.openAppend(file + TEMPORARY);
    try {
      await temporary.append(encodeFrame(payload));
      await temporary.sync();
    } finally {
      await temporary.close();
    }
    await this.files.rename(file + TEMPORARY, file);
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
