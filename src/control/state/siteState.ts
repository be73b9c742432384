/** The applied site document and the availability zones out of service. */

import type {SiteCommand, SiteResult, ZoneCommand, ZoneResult} from './command';

/** The site state as stored in snapshots. */
export interface SiteSnapshot {
  readonly version: number;
  readonly packed: string;
  readonly zonesOut: readonly string[];
  /** Absent in snapshots of versions whose zone orders had no revision. */
  readonly zoneRevisions?: ZoneRevisions;
}

/** Log index of the last order of each zone. */
export type ZoneRevisions = Readonly<Record<string, number>>;

/** Version before the first document is accepted. */
export const NO_SITE_VERSION = -1;
/** Zones that may be out of service at once, and whose last orders are known. */
export const MAX_ZONES = 128;
/** Revision of a zone before its first order. */
export const NO_ZONE_REVISION = 0;

/** Applies site documents; the highest version wins in any order of arrival. */
export class SiteState {
  private siteVersion = NO_SITE_VERSION;
  private packedText = '';
  private readonly out = new Set<string>();
  private readonly revisions = new Map<string, number>();

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

  /** Revisions of the zones; `NO_ZONE_REVISION` where one is absent. */
  get zoneRevisions(): ZoneRevisions {
    return Object.fromEntries(this.revisions);
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

  /**
   * Compares and sets: an order that waited somewhere must not undo a later one. An
   * order for the state that holds changes only the revision, so that it is not undone
   * either.
   */
  applyZone(
    {availabilityZone, out, seenRevision}: ZoneCommand,
    index: number
  ): ZoneResult {
    const revision = this.revisions.get(availabilityZone) ?? NO_ZONE_REVISION;
    const isCurrent = seenRevision === undefined || seenRevision === revision;
    if (!isCurrent && this.out.has(availabilityZone) !== out)
      return {kind: 'outdated'};
    const isNewOut = out && !this.out.has(availabilityZone);
    if (isNewOut && this.out.size >= MAX_ZONES) return {kind: 'outdated'};
    if (out) this.out.add(availabilityZone);
    else this.out.delete(availabilityZone);
    // Reinserted at the end: the oldest is evicted first.
    this.revisions.delete(availabilityZone);
    this.revisions.set(availabilityZone, index);
    this.evictRevision();
    return {kind: 'applied'};
  }

  private evictRevision(): void {
    if (this.revisions.size <= MAX_ZONES) return;
    const inService = [...this.revisions.keys()].find(
      zone => !this.out.has(zone)
    );
    if (inService !== undefined) this.revisions.delete(inService);
  }

  snapshot(): SiteSnapshot {
    const {version, packed, zonesOut, zoneRevisions} = this;
    return {version, packed, zonesOut, zoneRevisions};
  }

  restore({version, packed, zonesOut, zoneRevisions = {}}: SiteSnapshot): void {
    this.siteVersion = version;
    this.packedText = packed;
    this.out.clear();
    for (const zone of zonesOut) this.out.add(zone);
    this.revisions.clear();
    for (const [zone, revision] of Object.entries(zoneRevisions))
      this.revisions.set(zone, revision);
  }
}
