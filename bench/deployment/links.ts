/** Relays between named processes, each of which can be cut. */

import {CutDirection, CutRelay} from './cutRelay';

interface Link {
  readonly from: string;
  readonly to: string;
  readonly relay: CutRelay;
}

/** Selects links by the name of the client process and of the server process. */
export type LinkFilter = (from: string, to: string) => boolean;

/** All relays of one deployment. */
export class Links {
  private readonly links: Link[] = [];

  /** Starts a relay; resolves with the port at which `from` reaches `to`. */
  async open(from: string, to: string, toPort: number): Promise<number> {
    const relay = await CutRelay.start(toPort);
    this.links.push({from, to, relay});
    return relay.port;
  }

  cut(isSelected: LinkFilter, direction?: CutDirection): void {
    for (const relay of this.relaysOf(isSelected)) relay.cut(direction);
  }

  /** Data sent while the links were cut is delivered now. */
  heal(isSelected: LinkFilter = () => true): void {
    for (const relay of this.relaysOf(isSelected)) relay.heal();
  }

  close(): void {
    for (const {relay} of this.links) relay.close();
  }

  private relaysOf(isSelected: LinkFilter): readonly CutRelay[] {
    return this.links
      .filter(({from, to}) => isSelected(from, to))
      .map(({relay}) => relay);
  }
}
