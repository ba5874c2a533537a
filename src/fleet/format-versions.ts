/**
 * Which formats the nodes of the fleet read, as their records tell. What older builds can't read is
 * written only once none of them lives.
 */
import type { FormatVersion } from '../core/format-version.js';
import type { Milliseconds } from '../core/units.js';

/**
 * A node whose lease lapsed may live on, cut off from the store. It counts as living for this long,
 * unless another life takes its place: cuts and outages of the store are shorter.
 */
const LAPSED_MEMORY: Milliseconds = 60_000;

interface KnownFormat {
  readonly format: FormatVersion;
  /** Infinite while the node's record is there. */
  lapsedAt: Milliseconds;
}

/** The formats that nodes read, by their records. */
export class FormatVersions {
  private readonly nodes = new Map<string, KnownFormat>();
  private isListed = false;

  /** A node's record, or that of a replica, tells its format. */
  note(node: string, format: FormatVersion): void {
    this.nodes.set(node, { format, lapsedAt: Number.POSITIVE_INFINITY });
  }

  /** A node's record is gone. */
  noteGone(node: string, now: Milliseconds): void {
    const known = this.nodes.get(node);
    if (known !== undefined) known.lapsedAt = now;
  }

  /** The records of all live nodes are known. */
  noteListed(): void {
    this.isListed = true;
  }

  /** Whether every node that may live reads a format; not before the fleet is known. */
  isReadByAll(format: FormatVersion, now: Milliseconds): boolean {
    if (!this.isListed) return false;
    return [...this.nodes.values()].every(
      (known) => known.format >= format || now - known.lapsedAt > LAPSED_MEMORY,
    );
  }
}
