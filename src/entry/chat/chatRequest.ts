/** Parses what the entry uses of a chat completion request. */

import * as z from 'zod';
import {
  estimateTokens,
  prefixDigests,
  PromptMessage,
} from '../../core/promptPrefix';
import {refuse} from '../../core/refusal';

const CHAT_PATH = '/v1/chat/completions';
/** Expected output of a request without a maximum, in tokens. */
const DEFAULT_OUTPUT_TOKENS = 256;
const MAX_OUTPUT_TOKENS = 1_000_000;

const TEXT_PART = z.looseObject({text: z.string().optional()});
const MESSAGE_SCHEMA = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(TEXT_PART), z.null()]).optional(),
});
const TOKEN_COUNT = z.number().int().positive().max(MAX_OUTPUT_TOKENS);
/** Unknown fields are accepted; the engine validates them. */
const CHAT_REQUEST = z.looseObject({
  model: z.string().optional(),
  messages: z.array(MESSAGE_SCHEMA).min(1),
  stream: z.boolean().nullish(),
  max_tokens: TOKEN_COUNT.nullish(),
  max_completion_tokens: TOKEN_COUNT.nullish(),
});

/** A parsed request. */
export interface ChatRequest {
  readonly stream: boolean;
  readonly model?: string;
  /** Estimated. */
  readonly promptTokens: number;
  /**
   * Maximum number of output tokens, or a default when the request has none.
   */
  readonly outputTokens: number;
  /** Digests of the prompt's prefixes in whole blocks, shortest first. */
  readonly prefixes: readonly string[];
}

/** Whether a request is a chat completion. */
export function isChatCompletion(method: string, path: string): boolean {
  return method === 'POST' && path.split('?')[0] === CHAT_PATH;
}

/** Parses a body; throws the refusal `malformed-request`. */
export function parseChatRequest(body: Buffer, processId: string): ChatRequest {
  const parsed = CHAT_REQUEST.safeParse(parseJson(body, processId));
  if (!parsed.success)
    throw malformed(processId, z.prettifyError(parsed.error));
  const chat = parsed.data;
  const messages = chat.messages.map(promptMessage);
  return {
    stream: chat.stream ?? false,
    model: chat.model,
    promptTokens: messages.reduce((n, m) => n + estimateTokens(m.text), 0),
    outputTokens:
      chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    prefixes: prefixDigests(messages),
  };
}

/** Where a caller resumes a stream of its own. */
export interface CallerResume {
  /** Number of tokens that the caller already has. */
  readonly fromToken: number;
  /** `system_fingerprint` of the stream that it resumes. */
  readonly modelVersion: string;
}

/**
 * Parses Last-Event-ID and marlpulley-model-version; undefined without the
 * first. Throws `malformed-request` when only the version is missing: the rest
 * of the stream could then come from another model and not fit what the caller
 * has.
 */
export function parseCallerResume(
  lastEventId: string | undefined,
  modelVersion: string | undefined,
  processId: string
): CallerResume | undefined {
  if (lastEventId === undefined || lastEventId === '') return undefined;
  const last = tokenIndex(lastEventId);
  if (last === undefined)
    throw malformed(processId, 'Last-Event-ID is not the id of a token');
  if (modelVersion === undefined || modelVersion === '')
    throw malformed(processId, 'Last-Event-ID needs marlpulley-model-version');
  return {fromToken: last + 1, modelVersion};
}

/** Parses an event id as the index of a token; undefined when it is not one. */
export function tokenIndex(id: string): number | undefined {
  return /^\d{1,9}$/.test(id) ? Number(id) : undefined;
}

function promptMessage(message: z.infer<typeof MESSAGE_SCHEMA>): PromptMessage {
  const {role, content} = message;
  if (typeof content === 'string') return {role, text: content};
  const parts = content ?? [];
  return {role, text: parts.map(part => part.text ?? '').join('\n')};
}

function parseJson(body: Buffer, processId: string): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    throw malformed(processId, 'the body is not JSON');
  }
}

function malformed(processId: string, detail: string) {
  return refuse('malformed-request', 'classify', processId, detail);
}
