/** Collects bytes in large blocks, so that they cost what they are, not what they come in. */

const BLOCK_BYTES = 64 << 10;

/** Bytes that grow as chunks are appended. */
export class ByteBuffer {
  /** Full blocks, and a first chunk that was kept. */
  private readonly full: Buffer[] = [];
  private block: Buffer | undefined;
  private blockBytes = 0;
  private size = 0;

  /** Bytes so far. */
  get length(): number {
    return this.size;
  }

  /** Copies a chunk; a first one is kept as it is, since it is often the only one. */
  append(chunk: Buffer): void {
    if (this.size === 0) this.full.push(chunk);
    else this.copy(chunk);
    this.size += chunk.length;
  }

  /** The bytes so far. */
  bytes(): Buffer {
    const [first] = this.full;
    if (first !== undefined && first.length === this.size) return first;
    const last = this.block?.subarray(0, this.blockBytes);
    return Buffer.concat(last === undefined ? this.full : [...this.full, last]);
  }

  private copy(chunk: Buffer): void {
    for (let from = 0; from < chunk.length;) {
      this.block ??= Buffer.allocUnsafeSlow(BLOCK_BYTES);
      const copied = chunk.copy(this.block, this.blockBytes, from);
      from += copied;
      this.blockBytes += copied;
      if (this.blockBytes < BLOCK_BYTES) continue;
      this.full.push(this.block);
      this.block = undefined;
      this.blockBytes = 0;
    }
  }
}
