/** Writes the figures of docs/CAPACITY.md from docs/measured. */

/** Replaces the tables of the page under `root`. */
export function writePage(root: string): void {
  throw new Error(`not written yet: ${root}`);
}
