/** Chat completions of a fake engine, streamed or as one response. */

import {createHash} from 'node:crypto';
import type http from 'node:http';
import * as z from 'zod';
import {estimateTokens, prefixDigests} from '../../src/core/promptPrefix';
import type {PromptMessage} from '../../src/core/promptPrefix';
import {BLOCK_CHARS} from '../../src/core/promptPrefix';
import {headerOf, sendJson} from '../http';
import {tokenAt} from './expertRouter';

const BLOCK_TOKENS = estimateTokens(' '.repeat(BLOCK_CHARS));

const CHAT = z.object({
  messages: z.array(z.object({role: z.string(), content: z.string()})).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
});

/** A parsed chat request. */
export interface ChatCall {
  readonly requestId: string;
  readonly priority: number;
  readonly stream: boolean;
  /** Index of the first token to send. */
  readonly from: number;
  /** Index after the last token. */
  readonly end: number;
  readonly promptTokens: number;
  readonly prefixes: readonly string[];
  readonly promptDigest: string;
}

/** Parses a request; undefined if the body is not a chat request. */
export function parseChat(
  req: http.IncomingMessage,
  body: unknown,
  defaultTokens: number
): ChatCall | undefined {
  const parsed = CHAT.safeParse(body);
  if (!parsed.success) return undefined;
  const messages: PromptMessage[] = parsed.data.messages.map(m => ({
    role: m.role,
    text: m.content,
  }));
  const text = messages.map(m => `${m.role}\n${m.text}`).join('\n');
  const lastEventId = headerOf(req, 'last-event-id');
  return {
    requestId: headerOf(req, 'x-request-id') ?? 'anonymous',
    priority: Number(headerOf(req, 'x-priority') ?? 0),
    stream: parsed.data.stream,
    from: lastEventId === undefined ? 0 : Number(lastEventId) + 1,
    end: parsed.data.max_tokens ?? defaultTokens,
    promptTokens: estimateTokens(text),
    prefixes: prefixDigests(messages),
    promptDigest: createHash('sha256').update(text).digest('hex'),
  };
}

/**
 * Tokens to prefill: the prompt without its cached leading blocks, plus the
 * output tokens that precede a resumed stream.
 */
export function prefillTokens(call: ChatCall, cachedBlocks: number): number {
  const left = call.promptTokens - cachedBlocks * BLOCK_TOKENS;
  return Math.max(0, left) + call.from;
}

/** Writes the response to one call as its tokens are generated. */
export class ChatWriter {
  private readonly id: string;
  private readonly chunkPrefix: string;
  readonly parts: string[] = [];

  constructor(
    private readonly res: http.ServerResponse,
    private readonly call: ChatCall,
    private readonly model: string,
    private readonly modelVersion: string,
    statedStreamBytes: number
  ) {
    this.id = `chatcmpl-${call.requestId}`;
    this.chunkPrefix = JSON.stringify({
      id: this.id,
      object: 'chat.completion.chunk',
      model,
      system_fingerprint: modelVersion,
    }).slice(0, -1);
    if (!call.stream) return;
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      ...(statedStreamBytes > 0 ? {'content-length': statedStreamBytes} : {}),
    });
    res.flushHeaders();
  }

  /** Text of the token at an index, whether or not it was sent. */
  text(index: number): string {
    return tokenAt(this.call.promptDigest, this.modelVersion, index);
  }

  token(index: number): void {
    const text = this.text(index);
    this.parts.push(text);
    if (!this.call.stream) return;
    const isLast = index + 1 === this.call.end;
    const finishReason = isLast ? '"stop"' : 'null';
    const delta = JSON.stringify({content: text});
    this.res.write(
      `id: ${index}\ndata: ${this.chunkPrefix},"choices":[{"index":0,"delta":${delta},"finish_reason":${finishReason}}]}\n\n`
    );
  }

  end(): void {
    if (this.call.stream) {
      this.res.end('data: [DONE]\n\n');
      return;
    }
    const {promptTokens, end} = this.call;
    sendJson(this.res, 200, {
      id: this.id,
      object: 'chat.completion',
      model: this.model,
      system_fingerprint: this.modelVersion,
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content: this.parts.join('')},
          finish_reason: 'stop',
        },
      ],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: end,
        total_tokens: promptTokens + end,
      },
    });
  }
}
