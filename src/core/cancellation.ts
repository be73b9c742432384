/** Whether a call was cancelled, and whom to tell of it. */

/**
 * What the steps of a call need of an AbortSignal. A real one costs a call as
 * much as its JSON does (11 us with two listeners, against less than 1 us).
 */
export interface CancelSignal {
  readonly aborted: boolean;
  addEventListener(
    type: 'abort',
    listener: () => void,
    options?: {readonly once: true}
  ): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/** Cancels once; listeners that come later must look at `aborted` first. */
export class Cancellation implements CancelSignal {
  private readonly listeners = new Set<() => void>();
  private done = false;

  get aborted(): boolean {
    return this.done;
  }

  addEventListener(_type: 'abort', listener: () => void): void {
    this.listeners.add(listener);
  }

  removeEventListener(_type: 'abort', listener: () => void): void {
    this.listeners.delete(listener);
  }

  /** Every listener hears of it once; a second cancel says nothing new. */
  cancel(): void {
    if (this.done) return;
    this.done = true;
    for (const listener of this.listeners) listener();
    this.listeners.clear();
  }
}

/** Cancelled with either of the two. */
export function joined(
  first: CancelSignal,
  second: CancelSignal
): CancelSignal {
  const combined = new Cancellation();
  if (first.aborted || second.aborted) combined.cancel();
  for (const signal of [first, second])
    signal.addEventListener('abort', () => combined.cancel(), {once: true});
  return combined;
}
