import {EventBoundary} from '../src/core/eventBoundary';

function isReachedAfter(...chunks: readonly string[]): boolean {
  const boundary = new EventBoundary();
  for (const chunk of chunks) boundary.add(Buffer.from(chunk));
  return boundary.isReached;
}

describe('EventBoundary', () => {
  it.each(['', 'data: 1\n\n', 'data: 1\r\n\r\n', 'data: 1\r\r', ':\n\r\n'])(
    'should be reached after %j, in one chunk or many',
    text => {
      expect(isReachedAfter(text)).toBe(true);
      expect(isReachedAfter(...text)).toBe(true);
    }
  );

  it.each(['d', 'data: 1\n', 'data: 1\r\n', 'data: 1\r', 'data: 1\n\nid: 2\n'])(
    'should not be reached after %j',
    text => {
      expect(isReachedAfter(text)).toBe(false);
      expect(isReachedAfter(...text)).toBe(false);
    }
  );
});
