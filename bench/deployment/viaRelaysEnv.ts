/** What `viaRelays.ts` reads: JSON, relay ports by the ports they stand for. */

/** Name of the environment variable. */
export const VIA_RELAYS = 'MARLPULLEY_VIA_RELAYS';
