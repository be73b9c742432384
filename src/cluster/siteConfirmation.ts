/** When a leader last confirmed that this node has the newest site document. */

import type {Logger} from '../core/logger';

/** The last confirmation; logs when it becomes too old, and the next one. */
export class SiteConfirmation {
  private confirmedAtMs: number | undefined;
  private isOverdue = false;

  constructor(
    /** Age after which a newer document may be in force, milliseconds. */
    private readonly maxAgeMs: number,
    private readonly logger: Logger
  ) {}

  /** Time as of which the document was the newest; undefined before the first. */
  get atMs(): number | undefined {
    return this.confirmedAtMs;
  }

  /** Takes a confirmation as of `atMs`; replies may arrive out of order. */
  confirm(atMs: number, version: number, nowMs: number): void {
    const lastMs = this.confirmedAtMs ?? atMs;
    this.confirmedAtMs = Math.max(lastMs, atMs);
    if (!this.isOverdue || nowMs - this.confirmedAtMs > this.maxAgeMs) return;
    this.isOverdue = false;
    const ageMs = Math.round(nowMs - lastMs);
    this.logger.info(
      {event: 'site.confirmed', version, ageMs},
      `site version ${version} confirmed again after ${ageMs} ms`
    );
  }

  /** Logs, once, that the confirmation has become too old. */
  check(version: number, knowsLeader: boolean, nowMs: number): void {
    if (this.confirmedAtMs === undefined || this.isOverdue) return;
    const ageMs = Math.round(nowMs - this.confirmedAtMs);
    if (ageMs <= this.maxAgeMs) return;
    this.isOverdue = true;
    this.logger.warn(
      {event: 'site.unconfirmed', version, ageMs, knowsLeader},
      `site version ${version} not confirmed by a leader for ${ageMs} ms`
    );
  }
}
