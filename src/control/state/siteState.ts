/** The site document in force and the availability zones that are out. */

import type {SiteCommand, SiteResult, ZoneCommand} from './command';

/** What a snapshot of the log keeps of it. */
export interface SiteSnapshot {
  readonly version: number;
  readonly packed: string;
  readonly zonesOut: readonly string[];
}

/** Version before any document was accepted. */
export const NO_SITE_VERSION = -1;

/** Replicated state; the highest version wins, whatever the order of arrival. */
export class SiteState {
  private siteVersion = NO_SITE_VERSION;
  private packedText = '';
  private readonly out = new Set<string>();

  /** Version in force, `NO_SITE_VERSION` before the first. */
  get version(): number {
    return this.siteVersion;
  }

  /** The document in force, packed; empty before the first. */
  get packed(): string {
    return this.packedText;
  }

  /** Zones to whose targets nothing may be sent. */
  get zonesOut(): readonly string[] {
    return [...this.out];
  }

  /**
   * A document that is sent again, or was overtaken, changes nothing and is no
   * error: an operator whose answer was lost must be able to repeat the call.
   */
  applySite({version, packed}: SiteCommand): SiteResult {
    if (version <= this.siteVersion)
      return {kind: 'superseded', version: this.siteVersion};
    this.siteVersion = version;
    this.packedText = packed;
    return {kind: 'accepted', version};
  }

  applyZone({availabilityZone, out}: ZoneCommand): void {
    if (out) this.out.add(availabilityZone);
    else this.out.delete(availabilityZone);
  }

  snapshot(): SiteSnapshot {
    const {version, packed, zonesOut} = this;
    return {version, packed, zonesOut};
  }

  restore({version, packed, zonesOut}: SiteSnapshot): void {
    this.siteVersion = version;
    this.packedText = packed;
    this.out.clear();
    for (const zone of zonesOut) this.out.add(zone);
  }
}
