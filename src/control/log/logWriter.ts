/**
 * Writes durable changes in order. Changes queued during a write are written
 * together and synced once (group commit).
 */

import type {LogWrite} from './entry';
import type {LogStorage} from './logStorage';

interface QueuedWrites {
  readonly writes: readonly LogWrite[];
  readonly done: () => void;
}

/** Queue of writes to a storage. The first failure ends it. */
export class LogWriter {
  private queue: QueuedWrites[] = [];
  private running: Promise<void> | undefined;

  constructor(
    private readonly storage: LogStorage,
    private readonly onFailure: (err: unknown) => void
  ) {}

  /** Calls `done` once the writes are durable. */
  write(writes: readonly LogWrite[], done: () => void): void {
    this.queue.push({writes, done});
    this.running ??= this.run();
  }

  /** Resolves when no write is running. */
  async idle(): Promise<void> {
    await this.running;
  }

  /** Drops queued writes that have not started. */
  stop(): void {
    this.queue = [];
  }

  private async run(): Promise<void> {
    try {
      while (this.queue.length > 0) {
        const batch = this.queue;
        this.queue = [];
        await this.storage.write(batch.flatMap(({writes}) => writes));
        for (const {done} of batch) done();
      }
    } catch (err) {
      this.queue = [];
      this.onFailure(err);
    }
    this.running = undefined;
  }
}
