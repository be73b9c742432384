/**
 * Resolves with true once all promises have settled, with false if some have not after
 * the time, milliseconds.
 */
export async function settledWithin(
  promises: readonly Promise<unknown>[],
  ms: number
): Promise<boolean> {
  if (promises.length === 0) return true;
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>(resolve => {
    timer = setTimeout(() => resolve(false), ms);
  });
  const settled = Promise.allSettled(promises).then(() => true);
  const isSettled = await Promise.race([settled, timeout]);
  clearTimeout(timer);
  return isSettled;
}
