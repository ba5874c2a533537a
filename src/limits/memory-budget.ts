/**
 * Bounds the bytes that all clients together make a process hold. A budget that is full takes bytes back
 * from the holding that moves the smallest part of what it holds, so that clients that stopped sending or
 * reading do not keep out those that go on.
 */
import { KIBIBYTE, type Milliseconds, SECOND } from '../core/units.js';

/** A holding is judged by what it moved in the current and the previous window. */
const WINDOW: Milliseconds = 2 * SECOND;

/** Share of its bytes that a holding has to move in two windows to count as active. */
const ACTIVE_SHARE = 0.5;

/** An active holding gives way only to one that is smaller by this factor. */
const SIZE_FACTOR = 4;

/** Part of the capacity that is left to small holdings, and the largest of these. */
const SMALL_SHARE = 1 / 8;
const SMALL_BYTES = 192 * KIBIBYTE;

/** The capacity, in bytes, with which one holding of a size fits while small ones have their part. */
export function capacityFor(largestBytes: number): number {
  return Math.ceil(largestBytes / (1 - SMALL_SHARE));
}

export interface MemoryBudgetOptions {
  /** Bytes for all holdings together; may change. */
  readonly capacity: () => number;
  /** Milliseconds of a steady clock. */
  readonly now: () => Milliseconds;
  /** Called when a holding is evicted, with its bytes. */
  readonly onEvicted?: (bytes: number) => void;
}

/** What one request holds. */
export class MemoryHolding {
  private held = 0;
  private isClosed = false;
  /** Whether the budget had no room for it. */
  wasDenied = false;
  private window = 0;
  private movedInWindow = 0;
  private movedBefore = 0;
  /** Gives the bytes back; `undefined` while the holding can't be evicted. */
  onEvict: (() => void) | undefined;

  constructor(private readonly budget: MemoryBudget) {}

  /** Bytes held. */
  get bytes(): number {
    return this.held;
  }

  /** Holds so many more bytes; returns false, without a change, if the budget has no room. */
  grow(bytes: number): boolean {
    if (bytes <= 0) return true;
    if (this.isClosed || !this.budget.admit(this, bytes)) {
      this.wasDenied = true;
      return false;
    }
    this.held += bytes;
    return true;
  }

  /** Gives so many bytes back; none if the number is negative. */
  shrink(bytes: number): void {
    const given = Math.max(0, Math.min(bytes, this.held));
    this.held -= given;
    this.budget.release(given);
  }

  /** Gives all bytes back for good. */
  close(): void {
    this.isClosed = true;
    this.release();
  }

  /** Gives all bytes back; the holding may be used again. */
  release(): void {
    this.onEvict = undefined;
    this.shrink(this.held);
    this.budget.remove(this);
  }

  /** Notes bytes that the client sent or read. */
  noteMoved(bytes: number): void {
    this.rotate(this.budget.window);
    this.movedInWindow += bytes;
  }

  /** Part of the held bytes that moved lately; more than 1 where bytes moved through. */
  movedShare(window: number): number {
    this.rotate(window);
    return (this.movedInWindow + this.movedBefore) / Math.max(1, this.held);
  }

  private rotate(window: number): void {
    if (window === this.window) return;
    this.movedBefore = window === this.window + 1 ? this.movedInWindow : 0;
    this.movedInWindow = 0;
    this.window = window;
  }
}

export class MemoryBudget {
  private readonly holdings = new Set<MemoryHolding>();
  private used = 0;

  constructor(private readonly options: MemoryBudgetOptions) {}

  /** Bytes held by all. */
  get usedBytes(): number {
    return this.used;
  }

  /** Bytes for all together. */
  get capacity(): number {
    return this.options.capacity();
  }

  /** Number of the current window. */
  get window(): number {
    return Math.floor(this.options.now() / WINDOW);
  }

  /** A holding without bytes. */
  open(): MemoryHolding {
    return new MemoryHolding(this);
  }

  /** For {@link MemoryHolding}: makes room for more bytes and counts them. */
  admit(holding: MemoryHolding, bytes: number): boolean {
    const total = holding.bytes + bytes;
    const share = total > SMALL_BYTES ? 1 - SMALL_SHARE : 1;
    const limit = Math.max(this.capacity * share, Math.min(total, this.capacity));
    while (this.used + bytes > limit) {
      const victim = this.victimFor(holding, total);
      if (victim === undefined) return false;
      this.evict(victim);
    }
    this.used += bytes;
    this.holdings.add(holding);
    return true;
  }

  /** For {@link MemoryHolding}. */
  release(bytes: number): void {
    this.used -= bytes;
  }

  /** For {@link MemoryHolding}. */
  remove(holding: MemoryHolding): void {
    this.holdings.delete(holding);
  }

  private evict(victim: MemoryHolding): void {
    const { bytes, onEvict } = victim;
    victim.release();
    this.options.onEvicted?.(bytes);
    onEvict?.();
  }

  /** The least active holding, or else the largest if it is much larger than the one that grows. */
  private victimFor(growing: MemoryHolding, growingBytes: number): MemoryHolding | undefined {
    const { window } = this;
    let leastActive: MemoryHolding | undefined;
    let leastShare = ACTIVE_SHARE;
    let largest: MemoryHolding | undefined;
    for (const holding of this.holdings) {
      if (holding === growing || holding.onEvict === undefined || holding.bytes === 0) continue;
      const share = holding.movedShare(window);
      const isLessActive =
        share < leastShare || (share === leastShare && holding.bytes > (leastActive?.bytes ?? 0));
      if (share < ACTIVE_SHARE && isLessActive) {
        leastActive = holding;
        leastShare = share;
      }
      if (holding.bytes > (largest?.bytes ?? 0)) largest = holding;
    }
    if (leastActive !== undefined) return leastActive;
    return largest !== undefined && largest.bytes > SIZE_FACTOR * growingBytes
      ? largest
      : undefined;
  }
}
