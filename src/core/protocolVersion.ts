/**
 * The version of the internal protocol; peers of different versions reject each
 * other.
 */

/** Increased with every incompatible change. */
export const PROTOCOL_VERSION = '1';
