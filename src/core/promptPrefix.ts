/**
 * Digests of the leading blocks of a prompt, for prefix-cache affinity. They
 * are computed from text, so that an entry needs no tokenizer.
 */

import {createHash} from 'node:crypto';

/** Characters in one block; the last block of a message may be shorter. */
export const BLOCK_CHARS = 1024;
/** Leading blocks that get a digest; the rest of a prompt is ignored. */
export const MAX_BLOCKS = 32;
const DIGEST_HEX_DIGITS = 16;
const CHARS_PER_TOKEN = 4;

/** One message of a prompt, its content as plain text. */
export interface PromptMessage {
  readonly role: string;
  readonly text: string;
}

/** Estimates the number of tokens of a text. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN);
}

/** Chained digests, shortest prefix first: each covers all earlier blocks too. */
export function prefixDigests(
  messages: readonly PromptMessage[]
): readonly string[] {
  const digests: string[] = [];
  let previous = '';
  for (const block of blocksOf(messages)) {
    previous = createHash('sha256')
      .update(`${previous}\0${block}`)
      .digest('hex')
      .slice(0, DIGEST_HEX_DIGITS);
    digests.push(previous);
    if (digests.length === MAX_BLOCKS) break;
  }
  return digests;
}

function* blocksOf(messages: readonly PromptMessage[]): Generator<string> {
  for (const message of messages) {
    const text = `${message.role}\n${message.text}`;
    for (let start = 0; start < text.length; start += BLOCK_CHARS)
      yield text.slice(start, start + BLOCK_CHARS);
  }
}
