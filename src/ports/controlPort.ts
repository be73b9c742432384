/** Interface through which targets announce themselves and operators configure. */

import type {DecodedAnnouncement} from '../site/announcement';
import type {DecodedSite} from '../site/site';

/** A call at the control address. */
export type ControlCall =
  | {readonly kind: 'announce'; readonly id: string}
  | {readonly kind: 'leave'; readonly id: string}
  | {readonly kind: 'putSite'}
  | {readonly kind: 'getSite'}
  | {readonly kind: 'listQuarantine'}
  | {
      readonly kind: 'changeQuarantine';
      readonly change: 'add' | 'lift';
      readonly service: string;
      /** Id of a part of prompts; not to be logged. */
      readonly part: string;
    }
  | {
      readonly kind: 'liftRequest';
      /** Identity of a request over all tries. */
      readonly digest: string;
    }
  | {
      readonly kind: 'zone';
      readonly availabilityZone: string;
      readonly out: boolean;
    };

/** Paths and body formats of the control address. */
export interface ControlCodec {
  readonly readinessPath: string;
  /** Undefined if the method and URL match no call. */
  readCall(method: string, url: string): ControlCall | undefined;
  decodeSite(text: string): DecodedSite;
  decodeAnnouncement(id: string, text: string): DecodedAnnouncement;
}
