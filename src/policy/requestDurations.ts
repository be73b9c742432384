/** How long requests of a route have lasted lately, for what may still be taken. */

/** The longest duration counts for at least as many requests, and twice as many at most. */
const WINDOW_REQUESTS = 64;
const MAX_ROUTES = 1_024;

interface Window {
  count: number;
  longestMs: number;
  /** Of the window before. */
  readonly previousMs: number;
}

/** Durations by route, from arrival to the end of the response. */
export class RequestDurations {
  private readonly windows = new Map<string, Window>();

  record(route: string, ms: number): void {
    const window = this.windowOf(route);
    window.count++;
    window.longestMs = Math.max(window.longestMs, ms);
  }

  /** The longest one, milliseconds; `Infinity` for a route without requests. */
  longestMs(route: string): number {
    const window = this.windows.get(route);
    if (window === undefined) return Infinity;
    return Math.max(window.longestMs, window.previousMs);
  }

  private windowOf(route: string): Window {
    const known = this.windows.get(route);
    if (known !== undefined && known.count < WINDOW_REQUESTS) return known;
    const previousMs = known?.longestMs ?? 0;
    const window = {count: 0, longestMs: 0, previousMs};
    this.windows.set(route, window);
    const [oldest] = this.windows.keys();
    if (this.windows.size > MAX_ROUTES && oldest !== undefined)
      this.windows.delete(oldest);
    return window;
  }
}
