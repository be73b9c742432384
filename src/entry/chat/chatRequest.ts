/** What the entry needs to know of a chat completion request. */

import * as z from 'zod';
import {
  estimateTokens,
  prefixDigests,
  PromptMessage,
} from '../../core/promptPrefix';
import {refuse} from '../../core/refusal';

const CHAT_PATH = '/v1/chat/completions';
/** Output expected of a request that names no maximum, in tokens. */
const DEFAULT_OUTPUT_TOKENS = 256;
const MAX_OUTPUT_TOKENS = 1_000_000;

const TEXT_PART = z.looseObject({text: z.string().optional()});
const MESSAGE = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(TEXT_PART), z.null()]).optional(),
});
const TOKENS = z.number().int().positive().max(MAX_OUTPUT_TOKENS);
/** Fields that are not known here are the engine's business. */
const CHAT = z.looseObject({
  model: z.string().optional(),
  messages: z.array(MESSAGE).min(1),
  stream: z.boolean().nullish(),
  max_tokens: TOKENS.nullish(),
  max_completion_tokens: TOKENS.nullish(),
});

/** A parsed request. */
export interface ChatRequest {
  readonly stream: boolean;
  readonly model?: string;
  /** Estimated. */
  readonly promptTokens: number;
  /** Most tokens that may come out, or a usual number when not named. */
  readonly outputTokens: number;
  /** Digests of leading blocks, shortest prefix first. */
  readonly prefixes: readonly string[];
}

/** Whether a request is a chat completion at all. */
export function isChatCompletion(method: string, path: string): boolean {
  return method === 'POST' && path.split('?')[0] === CHAT_PATH;
}

/** Parses a body; throws the refusal `malformed-request`. */
export function parseChatRequest(body: Buffer, processId: string): ChatRequest {
  const parsed = CHAT.safeParse(parseJson(body, processId));
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

/** Where a caller's own stream goes on. */
export interface CallerResume {
  /** Tokens that the caller has. */
  readonly fromToken: number;
  /** `system_fingerprint` of the stream that it goes on from. */
  readonly modelVersion: string;
}

/**
 * Reads Last-Event-ID with marlpulley-model-version; undefined without the
 * first. Without the version the rest could come from another model and not
 * fit what the caller has, so it is refused.
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

/** The index of a token from an event's id; undefined when it is none. */
export function tokenIndex(id: string): number | undefined {
  return /^\d{1,9}$/.test(id) ? Number(id) : undefined;
}

function promptMessage(message: z.infer<typeof MESSAGE>): PromptMessage {
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
