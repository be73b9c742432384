/** What routing needs of a chat completion's body. */

import {createHash} from 'node:crypto';
import {z} from 'zod';
import {refuse} from '../core/refusal';
import type {ChatShape} from './call';

const BYTES_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 256;

const chatBody = z.looseObject({
  stream: z.boolean().optional(),
  max_tokens: z.number().positive().optional(),
  messages: z.array(z.looseObject({content: z.unknown()})).min(1),
});

/** Throws `malformed-request` for a body that is no chat completion. */
export function readChatShape(bytes: Buffer, entryId: string): ChatShape {
  const parsed = chatBody.safeParse(parseJson(bytes));
  if (!parsed.success) {
    throw refuse(
      'malformed-request',
      'classify',
      entryId,
      z.prettifyError(parsed.error)
    );
  }
  const {stream, max_tokens: maxTokens, messages} = parsed.data;
  return {
    stream: stream ?? false,
    promptTokens: Math.ceil(bytes.length / BYTES_PER_TOKEN),
    outputTokens: maxTokens ?? DEFAULT_OUTPUT_TOKENS,
    prefixes: prefixDigests(messages),
  };
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** A digest for each leading run of messages. */
function prefixDigests(messages: readonly unknown[]): readonly string[] {
  const hash = createHash('sha256');
  return messages.map(message => {
    hash.update(JSON.stringify(message));
    return hash.copy().digest('hex').slice(0, 16);
  });
}
