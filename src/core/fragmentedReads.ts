/**
 * Takes turns among connections whose bodies come in tiny chunks. The processor time of a
 * body grows with its chunks; without turns, a crowd of such bodies holds up all others.
 */

import type {Socket} from 'node:net';
import {holdReading} from './holdReading';

/** Bodies of fewer chunks cost little, whatever their size. */
const MIN_CHUNKS = 512;
/** Mean size below which chunks count as tiny, bytes. */
const TINY_CHUNK_BYTES = 64;

/** Watches the chunks of one body. */
export interface BodyReads {
  /** Counts a chunk. */
  add(bytes: number): void;
  /** Ends the watch. */
  close(): void;
}

/** A connection that waits for its turn; `resume` is set while it waits. */
interface Turn {
  readonly socket: Socket;
  resume?: () => void;
}

/** After one read of its socket, such a body waits until the others have had theirs. */
export class FragmentedReads {
  private readonly queue: Turn[] = [];
  private isScheduled = false;

  open(socket: Socket): BodyReads {
    const turn: Turn = {socket};
    let chunks = 0;
    let total = 0;
    return {
      add: bytes => {
        chunks++;
        total += bytes;
        if (chunks < MIN_CHUNKS || turn.resume !== undefined) return;
        if (total < chunks * TINY_CHUNK_BYTES) this.defer(turn);
      },
      close: () => {
        if (turn.resume === undefined) return;
        this.queue.splice(this.queue.indexOf(turn), 1);
        resume(turn);
      },
    };
  }

  private defer(turn: Turn): void {
    turn.resume = holdReading(turn.socket);
    this.queue.push(turn);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      const turn = this.queue.shift();
      if (turn !== undefined) resume(turn);
      if (this.queue.length > 0) this.schedule();
    });
  }
}

function resume(turn: Turn): void {
  turn.resume?.();
  turn.resume = undefined;
}

/** The turns of all connections of this process. */
export const FRAGMENTED_READS = new FragmentedReads();
