/** File operations for durable state, as a thin layer over `node:fs`. */

import {mkdir, open, readdir, readFile, rename, rm} from 'node:fs/promises';

/** An append-only file. */
export interface AppendFile {
  append(data: Buffer): Promise<void>;
  /** Resolves once all appended data is on the disk. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** File operations, as an interface so that tests can inject faults. */
export interface DiskFiles {
  makeDir(dir: string): Promise<void>;
  /** File names in a directory, sorted. */
  list(dir: string): Promise<readonly string[]>;
  /** Content of the file, or undefined if it does not exist. */
  read(file: string): Promise<Buffer | undefined>;
  openAppend(file: string): Promise<AppendFile>;
  truncate(file: string, bytes: number): Promise<void>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Makes creations, renames and removals in a directory durable. */
  syncDir(dir: string): Promise<void>;
}

/** The real file system. */
export const NODE_FILES: DiskFiles = {
  makeDir: async dir => {
    await mkdir(dir, {recursive: true});
  },
  list: async dir => (await readdir(dir)).sort(),
  read: async file => {
    try {
      return await readFile(file);
    } catch (err) {
      if (isMissing(err)) return undefined;
      throw err;
    }
  },
  openAppend: async file => {
    const handle = await open(file, 'a');
    return {
      append: data => handle.writeFile(data),
      sync: () => handle.sync(),
      close: () => handle.close(),
    };
  },
  truncate: async (file, bytes) => {
    const handle = await open(file, 'r+');
    try {
      await handle.truncate(bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
  rename,
  remove: path => rm(path, {recursive: true, force: true}),
  syncDir: async dir => {
    const handle = await open(dir, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
};

function isMissing(err: unknown): boolean {
  return (err as NodeJS.ErrnoException | undefined)?.code === 'ENOENT';
}
