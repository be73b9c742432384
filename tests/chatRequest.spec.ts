import fc from 'fast-check';
import {BLOCK_CHARS, prefixDigests} from '../src/core/promptPrefix';
import {
  isChatCompletion,
  parseCallerResume,
  parseChatRequest,
} from '../src/entry/chat/chatRequest';
import {SseParser} from '../src/core/sseParser';

const parse = (body: unknown) =>
  parseChatRequest(Buffer.from(JSON.stringify(body)), 'entry-1');

describe('chat requests', () => {
  it('should read the fields it needs and accept unknown ones', () => {
    const chat = parse({
      model: 'planner',
      stream: true,
      max_tokens: 7,
      temperature: {anything: 1},
      messages: [
        {role: 'system', content: 'abcd'},
        {role: 'user', content: [{type: 'text', text: 'efghi'}, {image: 1}]},
        {role: 'assistant', content: null, tool_calls: []},
      ],
    });
    expect(chat).toMatchObject({
      model: 'planner',
      stream: true,
      outputTokens: 7,
      promptTokens: 3,
    });
    expect(chat.prefixes).toHaveLength(3);
    expect(parse({messages: [{role: 'user'}]}).stream).toBe(false);
  });

  it.each([
    ['no messages', {messages: []}],
    ['a message without a role', {messages: [{content: 'x'}]}],
    [
      'a stream flag that is no boolean',
      {messages: [{role: 'u'}], stream: 'yes'},
    ],
    ['a maximum of no tokens', {messages: [{role: 'u'}], max_tokens: 0}],
    ['a list', []],
  ])('should refuse %s', (_name, body) => {
    expect(() => parse(body)).toThrow('malformed-request at classify');
  });

  it('should refuse a body that is not JSON', () => {
    expect(() => parseChatRequest(Buffer.from('{"me'), 'entry-1')).toThrow(
      'the body is not JSON'
    );
  });

  it('should recognize a chat completion by method and path', () => {
    expect(isChatCompletion('POST', '/v1/chat/completions?x=1')).toBe(true);
    expect(isChatCompletion('GET', '/v1/chat/completions')).toBe(false);
    expect(isChatCompletion('POST', '/v1/chat/completions2')).toBe(false);
  });

  it('should give equal digests to equal prefixes only', () => {
    const system = {role: 'system', text: 's'.repeat(BLOCK_CHARS * 2)};
    const one = prefixDigests([system, {role: 'user', text: 'one'}]);
    const two = prefixDigests([system, {role: 'user', text: 'two'}]);
    expect(one.slice(0, 3)).toEqual(two.slice(0, 3));
    expect(one[3]).not.toBe(two[3]);
    expect(prefixDigests([{role: 'user', text: 'one'}])[0]).not.toBe(one[3]);
  });

  it.each([
    [undefined, undefined, undefined],
    ['41', 'v1', {fromToken: 42, modelVersion: 'v1'}],
  ])('should read the resume point %s of %s', (id, version, expected) => {
    expect(parseCallerResume(id, version, 'entry-1')).toEqual(expected);
  });

  it.each([
    ['abc', 'v1'],
    ['-1', 'v1'],
    ['1e3', 'v1'],
    ['41', undefined],
  ])('should refuse the resume point %s of %s', (id, version) => {
    expect(() => parseCallerResume(id, version, 'entry-1')).toThrow(
      'malformed-request'
    );
  });
});

describe('event parser', () => {
  it('should find the same events wherever the bytes are split', () => {
    const lineEnd = fc.constantFrom('\n', '\r\n', '\r');
    const event = fc.record({id: fc.nat(99), text: fc.constantFrom('a', '€ë')});
    const cuts = fc.array(fc.nat(400));
    const property = fc.property(
      lineEnd,
      fc.array(event, {maxLength: 8}),
      cuts,
      (eol, events, at) => {
        const text = events
          .map(e => `id: ${e.id}${eol}data:${e.text}${eol}data: b${eol}${eol}`)
          .join('');
        const bytes = Buffer.from(text);
        const parser = new SseParser();
        const bounds = [0, ...at.sort((a, b) => a - b), bytes.length];
        const seen = bounds
          .slice(1)
          .flatMap((end, i) => parser.push(bytes.subarray(bounds[i], end)));
        expect(seen.map(e => ({id: Number(e.id), text: e.data}))).toEqual(
          events.map(e => ({id: e.id, text: `${e.text}\nb`}))
        );
        const raw = seen.map(e => e.raw).join('');
        // The parser may not have returned the LF that completes a last CRLF.
        expect(text.startsWith(raw)).toBe(true);
      }
    );
    fc.assert(property, {seed: 7, numRuns: 500});
  });
});
