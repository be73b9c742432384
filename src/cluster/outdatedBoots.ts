/** Boots of targets that announce themselves although a later one of the target is known. */

import type {TargetRecord} from '../site/announcement';

/** Announcements that were held up together arrive closer to each other. */
const MIN_INTERVAL_MS = 500;
const MAX_BOOTS = 1_024;

interface OutdatedBoot {
  readonly bornMs: number;
  readonly sequence: number;
  readonly atMs: number;
}

/** The last outdated announcement of each target. */
export class OutdatedBoots {
  private readonly boots = new Map<string, OutdatedBoot>();

  /**
   * Notes an announcement; returns whether the boot has sent one before that, so that it
   * runs now and not only in announcements that come late.
   */
  note({id, bornMs, sequence}: TargetRecord, nowMs: number): boolean {
    const last = this.boots.get(id);
    const isSameBoot = last?.bornMs === bornMs;
    if (isSameBoot && sequence <= last.sequence) return false;
    const isTogether = isSameBoot && nowMs - last.atMs < MIN_INTERVAL_MS;
    this.boots.delete(id);
    const atMs = isTogether ? last.atMs : nowMs;
    this.boots.set(id, {bornMs, sequence, atMs});
    const [oldest] = this.boots.keys();
    if (this.boots.size > MAX_BOOTS && oldest !== undefined)
      this.boots.delete(oldest);
    return isSameBoot && !isTogether;
  }

  delete(id: string): void {
    this.boots.delete(id);
  }
}
