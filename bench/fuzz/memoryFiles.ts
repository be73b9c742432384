/**
 * Files in memory that lose at a crash what a real disk may lose: unsynced
 * bytes, and names in a folder that was not synced.
 */

import path from 'node:path';
import type {AppendFile, DiskFiles} from '../../src/control/log/diskFiles';
import type {SeededRandom} from './schedule';

interface FileNode {
  data: Buffer;
  synced: Buffer;
}

/** An operation that a test can make fail. */
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

/** The disk of one instance; folders exist without being created. */
export class MemoryFiles implements DiskFiles {
  /** Operations so far, including those that failed. */
  readonly operations: FileOperation[] = [];
  private names = new Map<string, FileNode>();
  private durableNames = new Map<string, FileNode>();
  private faultHook: (operation: FileOperation) => void = () => undefined;

  /** Sets a hook that runs before each operation and may throw. */
  setFaultHook(fault: (operation: FileOperation) => void): void {
    this.faultHook = fault;
  }

  /** Power loss: a random part of the unsynced data survives. */
  crash(random: SeededRandom): void {
    this.faultHook = () => undefined;
    const names = new Map<string, FileNode>();
    for (const name of new Set([
      ...this.names.keys(),
      ...this.durableNames.keys(),
    ])) {
      const source = random.chance(0.5) ? this.names : this.durableNames;
      const node = source.get(name);
      if (node !== undefined) names.set(name, dropUnsynced(node, random));
    }
    this.names = names;
    this.durableNames = new Map(names);
  }

  async makeDir(): Promise<void> {}

  async list(dir: string): Promise<readonly string[]> {
    this.startOperation('list');
    return [...this.names.keys()]
      .filter(name => path.dirname(name) === dir)
      .map(name => path.basename(name))
      .sort();
  }

  async read(file: string): Promise<Buffer | undefined> {
    this.startOperation('read');
    return this.names.get(file)?.data;
  }

  async openAppend(file: string): Promise<AppendFile> {
    this.startOperation('open');
    const none = Buffer.alloc(0);
    const node = this.names.get(file) ?? {data: none, synced: none};
    this.names.set(file, node);
    return {
      append: async data => {
        this.startOperation('append');
        node.data = Buffer.concat([node.data, data]);
      },
      sync: async () => {
        this.startOperation('sync');
        node.synced = node.data;
      },
      close: async () => undefined,
    };
  }

  async truncate(file: string, bytes: number): Promise<void> {
    this.startOperation('truncate');
    const node = this.names.get(file);
    if (node === undefined) return;
    node.data = node.data.subarray(0, bytes);
    node.synced = node.data;
  }

  async rename(from: string, to: string): Promise<void> {
    this.startOperation('rename');
    const node = this.names.get(from);
    if (node === undefined) throw new Error(`no file ${from}`);
    this.names.delete(from);
    this.names.set(to, node);
  }

  async remove(file: string): Promise<void> {
    this.startOperation('remove');
    this.names.delete(file);
  }

  async syncDir(dir: string): Promise<void> {
    this.startOperation('syncDir');
    for (const name of this.durableNames.keys())
      if (path.dirname(name) === dir) this.durableNames.delete(name);
    for (const [name, node] of this.names)
      if (path.dirname(name) === dir) this.durableNames.set(name, node);
  }

  private startOperation(operation: FileOperation): void {
    this.operations.push(operation);
    this.faultHook(operation);
  }
}

/** Keeps all synced bytes and a random prefix of the unsynced ones. */
function dropUnsynced(node: FileNode, random: SeededRandom): FileNode {
  const unsynced = Math.max(0, node.data.length - node.synced.length);
  const kept = node.synced.length + random.int(0, unsynced);
  const data = Buffer.from(node.data.subarray(0, kept));
  return {data, synced: data};
}
