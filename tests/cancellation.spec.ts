import {Cancellation, eitherSignal} from '../src/core/cancellation';

describe('cancellation', () => {
  it('should call each listener once, and none that was removed', () => {
    const cancellation = new Cancellation();
    const added = jest.fn();
    const removed = jest.fn();
    cancellation.addEventListener('abort', added);
    cancellation.addEventListener('abort', removed);
    cancellation.removeEventListener('abort', removed);
    expect(cancellation.aborted).toBe(false);
    cancellation.cancel();
    cancellation.cancel();
    expect(cancellation.aborted).toBe(true);
    expect(added).toHaveBeenCalledTimes(1);
    expect(removed).not.toHaveBeenCalled();
  });

  it.each([
    ['the call', 'before', 0],
    ['the attempt', 'before', 1],
    ['the call', 'after', 0],
    ['the attempt', 'after', 1],
  ])(
    'should cancel a hedged attempt with %s, %s it began',
    (_who, when, index) => {
      // Of two concurrent attempts, one is cancelled when the caller disconnects
      // and when the other attempt is answered first. If it missed either, its
      // target would go on working.
      const sources = [new Cancellation(), new Cancellation()] as const;
      if (when === 'before') sources[index]?.cancel();
      const combined = eitherSignal(...sources);
      const onAbort = jest.fn();
      combined.addEventListener('abort', onAbort);
      sources[index]?.cancel();
      expect(combined.aborted).toBe(true);
      expect(onAbort).toHaveBeenCalledTimes(when === 'after' ? 1 : 0);
      expect(sources[1 - index]?.aborted).toBe(false);
    }
  );
});
