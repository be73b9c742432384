/** A bounded prefix cache that publishes its events late and loses some. */

import type {EngineConfig} from './engineConfig';

const MAX_EVENTS = 2000;

/** A cache event as it is published. */
export interface PublishedEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'removed';
  readonly prefix: string;
}

interface PendingEvent extends PublishedEvent {
  readonly visibleAtMs: number;
}

/** Evicts the least recently used blocks first. */
export class PrefixCache {
  /** In order of use, the least recently used first. */
  private readonly blocks = new Set<string>();
  private events: PendingEvent[] = [];
  private seq = 0;

  constructor(
    private readonly cfg: Pick<
      EngineConfig,
      'cacheBlocks' | 'cacheEventLagMs' | 'loseEveryNthCacheEvent'
    >
  ) {}

  /** Number of leading blocks that are cached. */
  cachedBlocks(prefixes: readonly string[]): number {
    const missing = prefixes.findIndex(prefix => !this.blocks.has(prefix));
    return missing < 0 ? prefixes.length : missing;
  }

  store(prefixes: readonly string[], nowMs: number): void {
    for (const prefix of prefixes) {
      const known = this.blocks.delete(prefix);
      this.blocks.add(prefix);
      if (!known) this.publish('stored', prefix, nowMs);
    }
    for (const oldest of this.blocks) {
      if (this.blocks.size <= this.cfg.cacheBlocks) break;
      this.blocks.delete(oldest);
      this.publish('removed', oldest, nowMs);
    }
  }

  has(prefix: string): boolean {
    return this.blocks.has(prefix);
  }

  eventsSince(seq: number, nowMs: number): readonly PublishedEvent[] {
    return this.events
      .filter(event => event.seq > seq && event.visibleAtMs <= nowMs)
      .map(event => ({
        seq: event.seq,
        kind: event.kind,
        prefix: event.prefix,
      }));
  }

  private publish(
    kind: 'stored' | 'removed',
    prefix: string,
    nowMs: number
  ): void {
    this.seq++;
    const nth = this.cfg.loseEveryNthCacheEvent;
    if (nth > 0 && this.seq % nth === 0) return;
    const visibleAtMs = nowMs + this.cfg.cacheEventLagMs;
    this.events.push({seq: this.seq, kind, prefix, visibleAtMs});
    this.events = this.events.slice(-MAX_EVENTS);
  }
}
