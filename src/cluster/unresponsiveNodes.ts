/** Nodes that did not answer lately; they are called last. */

/** A node that was restarted or cut off may answer again by then. */
const FORGET_AFTER_MS = 3_000;
const MAX_TRACKED = 256;

/** Addresses whose last call failed, bounded in number and in time. */
export class UnresponsiveNodes {
  /** The earliest failure first. */
  private readonly failedAtMs = new Map<string, number>();

  add(ip: string, nowMs: number): void {
    this.failedAtMs.delete(ip);
    this.failedAtMs.set(ip, nowMs);
    for (const [earliest, atMs] of this.failedAtMs) {
      const isExpired = nowMs - atMs >= FORGET_AFTER_MS;
      if (!isExpired && this.failedAtMs.size <= MAX_TRACKED) return;
      this.failedAtMs.delete(earliest);
    }
  }

  /** Forgets the failure of a node that sent a message. */
  delete(ip: string): void {
    this.failedAtMs.delete(ip);
  }

  has(ip: string, nowMs: number): boolean {
    const atMs = this.failedAtMs.get(ip);
    return atMs !== undefined && nowMs - atMs < FORGET_AFTER_MS;
  }
}
