/** The parts of prompts that this node served lately, by service. */

import type {ServedPart} from './crashAttribution';

const MAX_PARTS = 4_096;
/** Time for which a served part counts as sound. */
const KEEP_MS = 600_000;

/** Parts in the order of their last service. */
export class ServedParts {
  private readonly parts = new Map<string, ServedPart>();

  note(part: string, nowMs: number): void {
    const count = (this.parts.get(part)?.count ?? 0) + 1;
    this.put({part, atMs: nowMs, count});
  }

  /** Sets when and how often a part was served, in place of what was noted. */
  put(served: ServedPart): void {
    const {part} = served;
    this.parts.delete(part);
    this.parts.set(part, served);
    const [oldest] = this.parts.keys();
    if (this.parts.size > MAX_PARTS && oldest !== undefined)
      this.parts.delete(oldest);
  }

  /** Undefined if the part was not served lately. */
  find(part: string, nowMs: number): ServedPart | undefined {
    const served = this.parts.get(part);
    return served !== undefined && nowMs - served.atMs <= KEEP_MS
      ? served
      : undefined;
  }
}
