/** The internal protocol's version; peers that differ refuse each other. */

/** Grows with every incompatible change. */
export const PROTOCOL_VERSION = '1';
