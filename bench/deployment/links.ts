/** Relays between named processes, so that any link can fall silent. */

import {CutDirection, CutRelay} from './cutRelay';

interface Link {
  readonly from: string;
  readonly to: string;
  readonly relay: CutRelay;
}

/** Whether a link is meant: the name of its client, then of its server. */
export type LinkFilter = (from: string, to: string) => boolean;

/** All relays of one deployment. */
export class Links {
  private readonly links: Link[] = [];

  /** Resolves with the port at which `from` reaches `to`. */
  async open(from: string, to: string, toPort: number): Promise<number> {
    const relay = await CutRelay.start(toPort);
    this.links.push({from, to, relay});
    return relay.port;
  }

  cut(isMeant: LinkFilter, direction?: CutDirection): void {
    for (const relay of this.meant(isMeant)) relay.cut(direction);
  }

  /** What was sent meanwhile arrives now. */
  heal(isMeant: LinkFilter = () => true): void {
    for (const relay of this.meant(isMeant)) relay.heal();
  }

  close(): void {
    for (const {relay} of this.links) relay.close();
  }

  private meant(isMeant: LinkFilter): readonly CutRelay[] {
    return this.links
      .filter(({from, to}) => isMeant(from, to))
      .map(({relay}) => relay);
  }
}
