/** How targets announce themselves, and operators order. */

import type {TargetAnnouncement} from '../site/announcement';
import type {DecodedSite} from '../site/site';

/** A call at the control address. */
export type ControlCall =
  | {readonly kind: 'announce'; readonly id: string}
  | {readonly kind: 'leave'; readonly id: string}
  | {readonly kind: 'putSite'}
  | {readonly kind: 'getSite'}
  | {
      readonly kind: 'zone';
      readonly availabilityZone: string;
      readonly out: boolean;
    };

/** Names and formats of the control address. */
export interface ControlCodec {
  readonly readinessPath: string;
  /** Undefined for what is no call of this interface. */
  readCall(method: string, url: string): ControlCall | undefined;
  decodeSite(text: string): DecodedSite;
  /** Undefined when it names no target to use. */
  decodeAnnouncement(id: string, text: string): TargetAnnouncement | undefined;
}
