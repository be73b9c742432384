/** A lightweight AbortController for the calls that pass through a process. */

/** The part of AbortSignal that calls need; each call avoids the cost of a real one. */
export interface CancelSignal {
  readonly aborted: boolean;
  addEventListener(
    type: 'abort',
    listener: () => void,
    options?: {readonly once: true}
  ): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/**
 * A signal that can be cancelled once. A listener that is added after that is
 * never called, so check `aborted` before adding one.
 */
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

  /** Calls every listener once; a second cancel has no effect. */
  cancel(): void {
    if (this.done) return;
    this.done = true;
    for (const listener of this.listeners) listener();
    this.listeners.clear();
  }
}

/** Returns a signal that is cancelled as soon as either of the two is. */
export function eitherSignal(
  first: CancelSignal,
  second: CancelSignal
): CancelSignal {
  const combined = new Cancellation();
  if (first.aborted || second.aborted) combined.cancel();
  for (const signal of [first, second])
    signal.addEventListener('abort', () => combined.cancel(), {once: true});
  return combined;
}
