import {MalformedResponseError} from '../src/core/malformedResponse';
import {ResponseScanner} from '../src/core/responseScanner';

/** Undefined for bytes that are valid so far. */
function problemOf(bytes: Buffer, method = 'GET'): string | undefined {
  const scanner = new ResponseScanner(method);
  try {
    scanner.push(bytes);
    return undefined;
  } catch (err) {
    if (err instanceof MalformedResponseError) return err.message;
    throw err;
  }
}

/** Number of bytes after which they are known to be malformed. */
function acceptedBytes(text: string): number {
  const scanner = new ResponseScanner('GET');
  const bytes = Buffer.from(text, 'latin1');
  for (let at = 0; at < bytes.length; at++) {
    try {
      scanner.push(bytes.subarray(at, at + 1));
    } catch {
      return at;
    }
  }
  return bytes.length;
}

function head(...lines: string[]): Buffer {
  const text = ['HTTP/1.1 200 OK', ...lines, '\r\n'].join('\r\n');
  return Buffer.from(text, 'latin1');
}

const ALL_BYTES = Array.from({length: 256}, (_, byte) =>
  String.fromCharCode(byte)
);
const COLON = ':';
const ENDS_OF_LINES = '\r\n';

describe('a head', () => {
  it.each(ALL_BYTES)('should hold only tokens in names: %j', char => {
    if (char === COLON) return;
    const isToken = /[!#$%&'*+\-.^_`|~0-9A-Za-z]/.test(char);
    expect(problemOf(head(`X${char}Y: 1`)) === undefined).toBe(isToken);
    expect(problemOf(head(`${char}XY: 1`)) === undefined).toBe(isToken);
  });

  it.each(ALL_BYTES)('should hold only text in values: %j', char => {
    const isText = /[\t\x20-\x7e\x80-\xff]/.test(char);
    expect(problemOf(head(`X: a${char}b`)) === undefined).toBe(isText);
    if (ENDS_OF_LINES.includes(char)) return;
    const reason = Buffer.from(`HTTP/1.1 200 O${char}K\r\n\r\n`, 'latin1');
    expect(problemOf(reason) === undefined).toBe(isText);
  });

  it.each([
    ['CR before a name', '\rX: 1'],
    ['LF before a name', '\nX: 1'],
    ['LF after a value', 'X: 1\nY: 2'],
    ['CR after a value', 'X: 1\rY: 2'],
    ['CR in a name', 'X\rY: 1'],
    ['a folded line', 'X: 1\r\n 2'],
    ['a name without a colon', 'X'],
    ['an empty name', ': 1'],
    ['a blank before the colon', 'X : 1'],
    ['two lengths', 'Content-Length: 1\r\nContent-Length: 1'],
    ['a signed length', 'Content-Length: +1'],
    ['no length', 'Content-Length:'],
    ['a length and chunks', 'Content-Length: 1\r\nTransfer-Encoding: chunked'],
    ['an unknown coding', 'Transfer-Encoding: gzip, chunked'],
    ['two codings', 'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked'],
  ])('should be refused: %s', (_name, line) => {
    expect(problemOf(head(line))).toBeDefined();
  });

  it.each([
    ['an empty value', 'X:'],
    ['names of other cases', 'cONTENT-lENGTH: 1\r\nX-Content-Length: a'],
    ['a name that begins like a framing field', 'Content-Lengths: a'],
    ['a length in blanks', 'Content-Length: \t 1 \t'],
    ['chunks', 'TRANSFER-ENCODING: Chunked'],
    ['an obsolete coding', 'Transfer-Encoding: identity'],
  ])('should be accepted: %s', (_name, line) => {
    expect(problemOf(head(line))).toBeUndefined();
  });

  it.each([
    '000',
    '00',
    '099',
    '0200',
    '101',
    '600',
    '999',
    '1000',
    '-20',
    '2 0',
  ])('should be refused with the status %s', status => {
    const bytes = Buffer.from(`HTTP/1.1 ${status} OK\r\n\r\n`);
    expect(problemOf(bytes)).toBeDefined();
  });

  it.each(['RTSP/1.1', 'HTTP/0.9', 'HTTP/1.2', 'HTTP/2.0', 'ICY', 'http/1.1'])(
    'should be refused with the version %s',
    version => {
      const bytes = Buffer.from(`${version} 200 OK\r\n\r\n`);
      expect(problemOf(bytes)).toBe('neither HTTP/1.0 nor HTTP/1.1');
    }
  );

  it('should be accepted without a reason phrase', () => {
    expect(problemOf(Buffer.from('HTTP/1.0 200\r\n\r\n'))).toBeUndefined();
  });

  it('should be checked after interim heads, which are checked as well', () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n';
    const final = 'HTTP/1.1 200 OK\r\n\r\n';
    expect(problemOf(Buffer.from(interim + final))).toBeUndefined();
    const malformed = [
      interim.replace('k:', ' k:') + final,
      `${interim}${final.replace('\r\n', '\n')}`,
    ];
    for (const text of malformed)
      expect(problemOf(Buffer.from(text))).toBeDefined();
  });

  // A parser may act on a byte as soon as it has it.
  it('should be refused at the first byte that is malformed', () => {
    const valid = 'HTTP/1.1 200 OK\r\nX: 1\r\n';
    expect(acceptedBytes(`${valid}\nY: 1`)).toBe(valid.length);
    expect(acceptedBytes(`${valid}\rY: 1`)).toBe(valid.length + 1);
    expect(acceptedBytes(`${valid}Y : 1`)).toBe(valid.length + 1);
    expect(acceptedBytes(`${valid}Y: \x01`)).toBe(valid.length + 3);
  });
});

describe('a body', () => {
  const CHUNKED = head('Transfer-Encoding: chunked');
  const chunked = (text: string) =>
    Buffer.concat([CHUNKED, Buffer.from(text, 'latin1')]);

  it.each([head('Content-Length: 4'), head('X: 1')])(
    'should hold any bytes if it has no chunks',
    fields => {
      const bytes = Buffer.concat([fields, Buffer.from('\r\0\n:X Y')]);
      expect(problemOf(bytes)).toBeUndefined();
    }
  );

  it.each([
    ['chunks', '4\r\n\r\0\n:\r\nA\r\n0123456789\r\n0\r\n\r\n'],
    ['an extension', '1;a="b c"\r\nx\r\n000;d\r\n\r\n'],
    ['trailers', '0\r\nX-Count: 1\r\nTransfer-Encoding: x\r\n\r\n'],
    ['bytes after its end', '0\r\n\r\n\0X Y'],
  ])('should be accepted with %s, in any parts', (_name, text) => {
    expect(problemOf(chunked(text))).toBeUndefined();
    const whole = chunked(text).toString('latin1');
    expect(acceptedBytes(whole)).toBe(whole.length);
  });

  it.each([
    ['a size without digits', '\r\n'],
    ['a size that is none', 'x\r\n'],
    ['a signed size', '+1\r\nx'],
    ['a size beyond all bounds', 'fffffffffffffff\r\n'],
    ['a blank after a size', '1 \r\nx'],
    ['LF after a size', '1\nx'],
    ['LF in an extension', '1;a\nx'],
    ['a control byte in an extension', '1;\x01\r\nx'],
    ['a chunk that is too long', '1\r\nxy\r\n'],
    ['LF after a chunk', '1\r\nx\n0\r\n\r\n'],
    ['a blank in the name of a trailer', '0\r\nX Y: 1\r\n\r\n'],
    ['a control byte in a trailer', '0\r\nX: \x01\r\n\r\n'],
    ['LF before a trailer', '0\r\n\nX: 1\r\n\r\n'],
  ])('should be refused with %s', (_name, text) => {
    expect(problemOf(chunked(text))).toBeDefined();
  });

  it.each([
    ['a response to HEAD', 'HEAD', CHUNKED],
    [
      'a 304',
      'GET',
      Buffer.from('HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n'),
    ],
  ])('should not be expected of %s', (_name, method, bytes) => {
    expect(
      problemOf(Buffer.concat([bytes, Buffer.from('x')]), method)
    ).toBeUndefined();
  });
});
