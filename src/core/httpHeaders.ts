/**
 * Selects the headers that a relay forwards. Raw header lists are flat, as in
 * Node: names and values alternate.
 */

import type {RequestFraming} from './bodyFraming';

const HOP_BY_HOP = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  // Announces the trailers of chunks, and a body may be framed otherwise here.
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const FRAMING_HEADERS = ['content-length', 'transfer-encoding', 'trailer'];
const OWN_PREFIX = 'marlpulley-';

/**
 * Drops hop-by-hop headers and every header of the internal protocol: a target
 * or caller that sent one could otherwise impersonate an agent.
 */
export function endToEndHeaders(raw: readonly string[]): string[] {
  return relayedHeaders(raw, {});
}

/**
 * Like `endToEndHeaders`, then replaces or adds `set`, whose names are lower
 * case.
 */
export function relayedHeaders(
  raw: readonly string[],
  set: Readonly<Record<string, string>>
): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] ?? '';
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || lower.startsWith(OWN_PREFIX)) continue;
    // Not `in`: it would drop a header that is named like an Object method.
    if (!Object.hasOwn(set, lower)) kept.push(name, raw[i + 1] ?? '');
  }
  return withAdded(kept, set);
}

/** Replaces or adds headers in a raw list; names are lower case. */
export function withHeaders(
  raw: readonly string[],
  set: Readonly<Record<string, string>>
): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (Object.hasOwn(set, raw[i]!.toLowerCase())) continue;
    kept.push(raw[i]!, raw[i + 1]!);
  }
  return withAdded(kept, set);
}

function withAdded(
  list: string[],
  set: Readonly<Record<string, string>>
): string[] {
  for (const name of Object.keys(set)) list.push(name, set[name]!);
  return list;
}

/** Drops one header from a raw list; the name is lower case. */
export function withoutHeader(raw: readonly string[], name: string): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]!.toLowerCase() !== name) kept.push(raw[i]!, raw[i + 1]!);
  }
  return kept;
}

/**
 * States the framing of a request body, in place of any that the list states. Left to
 * Node, the body of a method that usually has none goes out without framing, and its
 * bytes are read as the next request.
 */
export function withFraming(
  raw: readonly string[],
  framing: RequestFraming
): string[] {
  const headers = FRAMING_HEADERS.reduce(
    (list: readonly string[], name) => withoutHeader(list, name),
    raw
  );
  return framing.kind === 'chunked'
    ? [...headers, 'transfer-encoding', 'chunked']
    : [...headers, 'content-length', String(framing.bytes)];
}

/** Pairs of names and values, in the form that recorded responses have. */
export function headerPairs(
  raw: readonly string[]
): readonly (readonly [string, string])[] {
  const pairs: [string, string][] = [];
  for (let i = 0; i + 1 < raw.length; i += 2)
    pairs.push([raw[i]!, raw[i + 1]!]);
  return pairs;
}
