/** The active site document of a node; its version never decreases. */

import {NO_SITE_VERSION} from '../control/state/siteState';
import type {Logger} from '../core/logger';
import {unpackText} from '../site/packText';
import type {DecodedSite} from '../site/site';
import {SiteIndex} from '../site/siteIndex';

/** Holds the newest document that could be decoded. */
export class ActiveSite {
  private current: SiteIndex | undefined;
  private packedText = '';

  constructor(
    private readonly decode: (text: string) => DecodedSite,
    private readonly logger: Logger
  ) {}

  /** The document as sent between nodes; empty before the first. */
  get packed(): string {
    return this.packedText;
  }

  /** Activates a newer document; returns the one that is active then. */
  update(version: number, packed: string | undefined): SiteIndex | undefined {
    const heldVersion = this.current?.site.version ?? NO_SITE_VERSION;
    if (packed === undefined || version <= heldVersion) return this.current;
    const decoded = this.decode(unpackText(packed));
    if (!decoded.ok) {
      const {problem} = decoded;
      this.logger.error({event: 'site.unreadable', problem}, problem);
      return this.current;
    }
    this.packedText = packed;
    this.current = new SiteIndex(decoded.site);
    this.logger.info(
      {event: 'site.applied', version},
      `site version ${version} applied`
    );
    return this.current;
  }
}
