/** HTTP calls to an entry, as real callers make them. */

import {randomUUID} from 'node:crypto';

/** A complete HTTP response. */
export interface CallerAnswer {
  readonly status: number;
  readonly target: string;
  readonly reason: string;
  readonly outcome: string;
  readonly body: string;
  readonly elapsedMs: number;
}

const HEADERS = {
  'content-type': 'application/json',
  'x-customer': 'harbour',
} as const;

/** Sends a request and reads the whole response; rejects if the response is cut off. */
export async function call(
  port: number,
  path: string,
  init: RequestInit = {},
  customer: string = HEADERS['x-customer']
): Promise<CallerAnswer> {
  const startedAtMs = performance.now();
  const headers = {...HEADERS, 'x-customer': customer, ...init.headers};
  const res = await fetch(`http://127.0.0.1:${port}${path}`, {
    ...init,
    headers,
  });
  const body = await res.text();
  return {
    status: res.status,
    target: res.headers.get('marlpulley-target') ?? '',
    reason: res.headers.get('marlpulley-reason') ?? '',
    outcome: res.headers.get('marlpulley-outcome') ?? '',
    body,
    elapsedMs: performance.now() - startedAtMs,
  };
}

/** Sends a chat completion request that asks for `tokens` output tokens. */
export function chat(
  port: number,
  prompt: string,
  tokens: number,
  stream: boolean
): Promise<CallerAnswer> {
  const body = {
    model: 'planner',
    stream,
    max_tokens: tokens,
    messages: [{role: 'user', content: prompt}],
  };
  return call(port, '/v1/chat/completions', {
    method: 'POST',
    body: JSON.stringify(body),
  });
}

/** Sends a plug assignment, which may run at most once per key. */
export function assign(
  port: number,
  key: string,
  box: number
): Promise<CallerAnswer> {
  const headers = {'idempotency-key': key};
  return call(port, '/assign', {
    method: 'POST',
    headers,
    body: JSON.stringify({box}),
  });
}

/** A new unique idempotency key. */
export function newIdempotencyKey(): string {
  return randomUUID();
}

/** Token ids of a server-sent event stream, and whether the stream is complete. */
export function readStream(body: string): {
  readonly ids: readonly number[];
  readonly whole: boolean;
} {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(match =>
    Number(match[1])
  );
  return {ids, whole: body.includes('data: [DONE]')};
}

/** Whether a complete stream has the tokens 0 to `count` - 1, each once and in order. */
export function isExactStream(body: string, count: number): boolean {
  const {ids, whole} = readStream(body);
  return whole && ids.length === count && ids.every((id, i) => id === i);
}
