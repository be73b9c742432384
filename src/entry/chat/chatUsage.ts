/** Reads the output tokens of a chat completion that is not streamed. */

import * as z from 'zod';
import {ByteBuffer} from '../../core/byteBuffer';

/** A larger response is not parsed, so its tokens are not counted. */
const MAX_PARSED_BYTES = 1024 * 1024;

const COMPLETION = z.looseObject({
  usage: z.looseObject({completion_tokens: z.number().nonnegative()}),
});

/** Collects the body of a response while it is relayed. */
export class ChatUsage {
  private body = new ByteBuffer();
  private size = 0;

  addChunk(chunk: Buffer): void {
    this.size += chunk.length;
    if (this.size <= MAX_PARSED_BYTES) this.body.append(chunk);
  }

  /** Discards what was collected, before another target's response. */
  reset(): void {
    this.body = new ByteBuffer();
    this.size = 0;
  }

  /** 0 when the response does not state it. */
  completionTokens(): number {
    if (this.size > MAX_PARSED_BYTES) return 0;
    try {
      const body: unknown = JSON.parse(this.body.bytes().toString());
      return COMPLETION.parse(body).usage.completion_tokens;
    } catch {
      return 0;
    }
  }
}
