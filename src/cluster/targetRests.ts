/**
 * Rests that targets asked this node for.
 *
 * After a rest the target may still have no room, and requests that waited for its
 * end would all be turned away. So one request is sent first, and others follow once
 * it has been served.
 */

import type {TargetBoot} from './nodeRateLimits';
import type {TargetTable} from './targetTable';

/** Guards against a garbled value that would exclude a target for good. */
const MAX_REST_MS = 300_000;
/** Time after which a probe without a response is followed by another. */
const PROBE_TIMEOUT_MS = 1_000;
/** Time after which a request may ask again whether the probe has been served. */
const PROBE_POLL_MS = 50;

interface Rest {
  readonly bornMs: number;
  readonly untilMs: number;
  /** When the first request after the rest was sent. */
  probedAtMs: number;
}

/** Rests by target id; each is for one boot. */
export class TargetRests {
  private readonly rests = new Map<string, Rest>();

  /** Whether no target asked for rest. */
  get isEmpty(): boolean {
    return this.rests.size === 0;
  }

  /** Begins a rest, or prolongs it; a shorter one does not end it sooner. */
  begin(target: TargetBoot, restMs: number, nowMs: number): void {
    const {id, bornMs} = target;
    const leftMs = this.remainingMs(target, nowMs);
    const durationMs = Math.min(MAX_REST_MS, Math.max(leftMs, restMs));
    const untilMs = nowMs + durationMs;
    this.rests.set(id, {bornMs, untilMs, probedAtMs: -Infinity});
  }

  /** Notes a request that is sent to the target. */
  noteRequest(target: TargetBoot, nowMs: number): void {
    const rest = this.find(target);
    if (rest !== undefined) rest.probedAtMs = nowMs;
  }

  /** Notes that the target took a request; a rest in force goes on. */
  noteServed(target: TargetBoot, nowMs: number): void {
    const rest = this.find(target);
    if (rest !== undefined && nowMs >= rest.untilMs)
      this.rests.delete(target.id);
  }

  /** Time until the rest ends; 0 when the target is not at rest. */
  remainingMs(target: TargetBoot, nowMs: number): number {
    const rest = this.find(target);
    return rest === undefined ? 0 : Math.max(0, rest.untilMs - nowMs);
  }

  /** Time until a request may be sent, or may ask again; 0 when it may be sent. */
  blockedMs(target: TargetBoot, nowMs: number): number {
    const rest = this.find(target);
    if (rest === undefined) return 0;
    if (nowMs < rest.untilMs) return rest.untilMs - nowMs;
    const isProbing = nowMs - rest.probedAtMs < PROBE_TIMEOUT_MS;
    return isProbing ? PROBE_POLL_MS : 0;
  }

  /** Ids of the targets at rest. */
  ids(nowMs: number): readonly string[] {
    return [...this.rests]
      .filter(([, {untilMs}]) => nowMs < untilMs)
      .map(([id]) => id);
  }

  /** Evicts the rests of targets that are gone or have restarted. */
  evict(table: TargetTable): void {
    for (const [id, {bornMs}] of this.rests)
      if (table.find(id)?.bornMs !== bornMs) this.rests.delete(id);
  }

  private find({id, bornMs}: TargetBoot): Rest | undefined {
    const rest = this.rests.get(id);
    return rest?.bornMs === bornMs ? rest : undefined;
  }
}
