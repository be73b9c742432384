/**
 * A JSON file of soft state that outlasts the loss of all processes. It is optional: a
 * node without it gets the same state from the others.
 */

import {mkdir, open, readFile, rename} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import type {Logger} from '../core/logger';

const HEADER = z.object({
  /** Unix time of the file, milliseconds. */
  savedAt: z.number(),
});

/** Location and format of a file. */
export interface HintFileOptions<T extends object> {
  readonly folder: string;
  /** Name without extension; also that of its log events. */
  readonly name: string;
  readonly schema: z.ZodType<T>;
  /** Changes within this time are saved together. */
  readonly intervalMs: number;
  readonly logger: Logger;
}

/** One file of one node. */
export class HintFile<T extends object> {
  private readonly file: string;
  private isSaving = false;
  /** Returns the content of the next save; undefined if nothing changed. */
  private next: (() => T) | undefined;

  constructor(private readonly options: HintFileOptions<T>) {
    this.file = path.join(options.folder, `${options.name}.json`);
  }

  /** What was saved, and how long ago; undefined without a readable file. */
  async read(): Promise<{content: T; ageMs: number} | undefined> {
    const {name, schema, logger} = this.options;
    try {
      const json: unknown = JSON.parse(await readFile(this.file, 'utf8'));
      const {savedAt} = HEADER.parse(json);
      const ageMs = Math.max(0, Date.now() - savedAt);
      return {content: schema.parse(json), ageMs};
    } catch (err) {
      // Absent at the first start; a damaged file is ignored.
      logger.debug(
        {event: `${name}.unread`, err: String(err)},
        `no saved ${name}`
      );
      return undefined;
    }
  }

  /** Saves what `content` returns at that time: now, or soon after the last change. */
  save(content: () => T): void {
    this.next = content;
    if (!this.isSaving) void this.saveChanges();
  }

  private async saveChanges(): Promise<void> {
    this.isSaving = true;
    while (this.next !== undefined) {
      const content = this.next();
      this.next = undefined;
      await this.write(content);
      await delay(this.options.intervalMs, undefined, {ref: false});
    }
    this.isSaving = false;
  }

  private async write(content: T): Promise<void> {
    const {folder, name, logger} = this.options;
    const temporary = `${this.file}.new`;
    try {
      await mkdir(folder, {recursive: true});
      const handle = await open(temporary, 'w');
      try {
        await handle.writeFile(
          JSON.stringify({savedAt: Date.now(), ...content})
        );
        await handle.sync();
      } finally {
        await handle.close();
      }
      await rename(temporary, this.file);
    } catch (err) {
      logger.warn(
        {event: `${name}.unsaved`, err: String(err)},
        `cannot save ${name}`
      );
    }
  }
}
