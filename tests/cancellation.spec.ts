import {Cancellation, joined} from '../src/core/cancellation';

describe('cancellation', () => {
  it('should tell each listener once, and none that left', () => {
    const cancellation = new Cancellation();
    const stays = jest.fn();
    const leaves = jest.fn();
    cancellation.addEventListener('abort', stays);
    cancellation.addEventListener('abort', leaves);
    cancellation.removeEventListener('abort', leaves);
    expect(cancellation.aborted).toBe(false);
    cancellation.cancel();
    cancellation.cancel();
    expect(cancellation.aborted).toBe(true);
    expect(stays).toHaveBeenCalledTimes(1);
    expect(leaves).not.toHaveBeenCalled();
  });

  it.each([
    ['the call', 'before', 0],
    ['the leg', 'before', 1],
    ['the call', 'after', 0],
    ['the leg', 'after', 1],
  ])('should end a leg with %s, %s it began', (_who, when, index) => {
    // Two attempts run side by side. The caller goes away, or the other one
    // answers first: a leg that missed either would run on at its target.
    const parts = [new Cancellation(), new Cancellation()] as const;
    if (when === 'before') parts[index]?.cancel();
    const both = joined(...parts);
    const ended = jest.fn();
    both.addEventListener('abort', ended);
    parts[index]?.cancel();
    expect(both.aborted).toBe(true);
    expect(ended).toHaveBeenCalledTimes(when === 'after' ? 1 : 0);
    expect(parts[1 - index]?.aborted).toBe(false);
  });
});
