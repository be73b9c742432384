/** Writes durable changes in order; what queues up meanwhile is synced once. */

import type {LogWrite} from './entry';
import type {LogStorage} from './logStorage';

interface Queued {
  readonly writes: readonly LogWrite[];
  readonly done: () => void;
}

/** Group commit over a storage. The first failure ends it. */
export class LogWriter {
  private queue: Queued[] = [];
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

  /** Resolves when nothing is being written any more. */
  async idle(): Promise<void> {
    await this.running;
  }

  /** Drops what has not been started. */
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
