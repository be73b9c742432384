/** The input of `viaRelays.ts`: a JSON object of relay ports by original port. */

/** Name of the environment variable. */
export const VIA_RELAYS = 'MARLPULLEY_VIA_RELAYS';
