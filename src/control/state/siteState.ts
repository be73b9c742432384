/** The applied site document and the availability zones out of service. */

import type {SiteCommand, SiteResult, ZoneCommand} from './command';

/** The site state as stored in snapshots. */
export interface SiteSnapshot {
  readonly version: number;
  readonly packed: string;
  readonly zonesOut: readonly string[];
}

/** Version before the first document is accepted. */
export const NO_SITE_VERSION = -1;

/** Applies site documents; the highest version wins in any order of arrival. */
export class SiteState {
  private siteVersion = NO_SITE_VERSION;
  private packedText = '';
  private readonly out = new Set<string>();

  /** Version of the applied document; `NO_SITE_VERSION` before the first. */
  get version(): number {
    return this.siteVersion;
  }

  /** The applied document, compressed; empty before the first. */
  get packed(): string {
    return this.packedText;
  }

  /** Zones that are out of service: no request may be sent to their targets. */
  get zonesOut(): readonly string[] {
    return [...this.out];
  }

  /**
   * A repeated or outdated document changes nothing and is not an error: an
   * operator whose reply was lost must be able to repeat the call.
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
