/**
 * Collects the chunks of a body in one buffer, so that the memory follows the bytes and not the number
 * of chunks.
 */

/** First capacity of a body whose length is not announced. */
const MIN_CAPACITY_BYTES = 4_096;

export class GrowingBuffer {
  private content = Buffer.alloc(0);
  private used = 0;

  /**
   * `limit` is the largest length that is expected, in bytes; more may be appended. `announcedLength` is
   * that of the body, if there is one.
   */
  constructor(
    private readonly limit: number = Number.POSITIVE_INFINITY,
    private readonly announcedLength: number = 0,
  ) {}

  /** Bytes collected. */
  get length(): number {
    return this.used;
  }

  /** Bytes allocated. */
  get capacity(): number {
    return this.content.length;
  }

  /**
   * The capacity with so many more bytes, in bytes: the announced length, as pages that are not written
   * take no memory, or else twice the capacity before, up to the limit.
   */
  capacityWith(addedBytes: number): number {
    const needed = this.used + addedBytes;
    if (needed <= this.capacity) return this.capacity;
    const doubled = Math.max(2 * this.capacity, MIN_CAPACITY_BYTES);
    const wanted = needed <= this.announcedLength ? this.announcedLength : doubled;
    return Math.max(needed, Math.min(wanted, this.limit));
  }

  append(chunk: Buffer): void {
    const capacity = this.capacityWith(chunk.length);
    if (capacity > this.capacity) {
      const grown = Buffer.allocUnsafe(capacity);
      this.content.copy(grown, 0, 0, this.used);
      this.content = grown;
    }
    chunk.copy(this.content, this.used);
    this.used += chunk.length;
  }

  /** Drops the collected bytes. */
  clear(): void {
    this.content = Buffer.alloc(0);
    this.used = 0;
  }

  /** The collected bytes, without a copy. */
  toBuffer(): Buffer {
    return this.content.subarray(0, this.used);
  }
}
