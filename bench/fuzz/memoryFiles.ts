/**
 * Files in memory that forget, at a crash, what a real disk may forget: bytes
 * that were not synced, and names whose folder was not synced.
 */

import path from 'node:path';
import type {AppendFile, DiskFiles} from '../../src/control/log/diskFiles';
import type {SeededRandom} from './schedule';

interface FileNode {
  data: Buffer;
  synced: Buffer;
}

/** An operation that may be made to fail. */
export type FileOperation =
  | 'list'
  | 'read'
  | 'open'
  | 'append'
  | 'sync'
  | 'truncate'
  | 'rename'
  | 'remove'
  | 'syncDir';

/** One disk of one instance; folders need not be made. */
export class MemoryFiles implements DiskFiles {
  /** Operations so far. */
  readonly done: FileOperation[] = [];
  private names = new Map<string, FileNode>();
  private durableNames = new Map<string, FileNode>();
  private fault: (operation: FileOperation) => void = () => undefined;

  /** `fault` may throw before any operation. */
  setFault(fault: (operation: FileOperation) => void): void {
    this.fault = fault;
  }

  /** Power goes: of what was not synced, a part may be there. */
  crash(random: SeededRandom): void {
    this.fault = () => undefined;
    const names = new Map<string, FileNode>();
    for (const name of new Set([
      ...this.names.keys(),
      ...this.durableNames.keys(),
    ])) {
      const source = random.chance(0.5) ? this.names : this.durableNames;
      const node = source.get(name);
      if (node !== undefined) names.set(name, cutOff(node, random));
    }
    this.names = names;
    this.durableNames = new Map(names);
  }

  async makeDir(): Promise<void> {}

  async list(dir: string): Promise<readonly string[]> {
    this.begin('list');
    return [...this.names.keys()]
      .filter(name => path.dirname(name) === dir)
      .map(name => path.basename(name))
      .sort();
  }

  async read(file: string): Promise<Buffer | undefined> {
    this.begin('read');
    return this.names.get(file)?.data;
  }

  async openAppend(file: string): Promise<AppendFile> {
    this.begin('open');
    const none = Buffer.alloc(0);
    const node = this.names.get(file) ?? {data: none, synced: none};
    this.names.set(file, node);
    return {
      append: async data => {
        this.begin('append');
        node.data = Buffer.concat([node.data, data]);
      },
      sync: async () => {
        this.begin('sync');
        node.synced = node.data;
      },
      close: async () => undefined,
    };
  }

  async truncate(file: string, bytes: number): Promise<void> {
    this.begin('truncate');
    const node = this.names.get(file);
    if (node === undefined) return;
    node.data = node.data.subarray(0, bytes);
    node.synced = node.data;
  }

  async rename(from: string, to: string): Promise<void> {
    this.begin('rename');
    const node = this.names.get(from);
    if (node === undefined) throw new Error(`no file ${from}`);
    this.names.delete(from);
    this.names.set(to, node);
  }

  async remove(file: string): Promise<void> {
    this.begin('remove');
    this.names.delete(file);
  }

  async syncDir(dir: string): Promise<void> {
    this.begin('syncDir');
    for (const name of this.durableNames.keys())
      if (path.dirname(name) === dir) this.durableNames.delete(name);
    for (const [name, node] of this.names)
      if (path.dirname(name) === dir) this.durableNames.set(name, node);
  }

  private begin(operation: FileOperation): void {
    this.done.push(operation);
    this.fault(operation);
  }
}

/** Synced bytes are there for sure; of the rest, any beginning. */
function cutOff(node: FileNode, random: SeededRandom): FileNode {
  const unsynced = Math.max(0, node.data.length - node.synced.length);
  const kept = node.synced.length + random.int(0, unsynced);
  const data = Buffer.from(node.data.subarray(0, kept));
  return {data, synced: data};
}
