/** Reads from a whole chat completion how many tokens it cost. */

import * as z from 'zod';

/** A larger answer is passed on without being read. */
const MAX_READ_BYTES = 1024 * 1024;

const ANSWER = z.looseObject({
  usage: z.looseObject({completion_tokens: z.number().nonnegative()}),
});

/** Collects the body as it passes. */
export class ChatUsage {
  private chunks: Buffer[] = [];
  private size = 0;

  take(chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size <= MAX_READ_BYTES) this.chunks.push(chunk);
  }

  /** Starts anew for another target's answer. */
  reset(): void {
    this.chunks = [];
    this.size = 0;
  }

  /** 0 when the answer does not tell. */
  completionTokens(): number {
    if (this.size > MAX_READ_BYTES) return 0;
    try {
      const body: unknown = JSON.parse(Buffer.concat(this.chunks).toString());
      return ANSWER.parse(body).usage.completion_tokens;
    } catch {
      return 0;
    }
  }
}
