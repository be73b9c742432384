/** Time that copies of experts may take. */

/**
 * Copies may take slightly longer than the profile states. An arm order that
 * arrives before the copy is complete is refused and sent again, and the group
 * is held meanwhile.
 */
const COPY_TIME_FACTOR = 1.1;
const COPY_TIME_MARGIN_MS = 15;

/** Time after which a copy is complete, milliseconds; `copyMs` by the profile. */
export function paddedCopyMs(copyMs: number): number {
  return copyMs * COPY_TIME_FACTOR + COPY_TIME_MARGIN_MS;
}
