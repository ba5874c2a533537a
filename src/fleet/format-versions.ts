/**
 * Tracks which record formats the nodes of the fleet read, so that a format is written only once no
 * node that cannot read it may be running.
 */
import type { FormatVersion } from '../core/format-version.js';
import type { Milliseconds } from '../core/units.js';

/**
 * A node whose lease expired may still be running while partitioned from the store, and counts as
 * running for this long unless another incarnation replaces it.
 */
const EXPIRED_NODE_RETENTION: Milliseconds = 60_000;

interface KnownFormat {
  readonly format: FormatVersion;
  /** When the node's record expired; infinite while it exists. */
  expiredAt: Milliseconds;
}

export class FormatVersions {
  private readonly nodes = new Map<string, KnownFormat>();
  private isListed = false;

  /** Records the format in the record of a node or a journal replica. */
  note(node: string, format: FormatVersion): void {
    this.nodes.set(node, { format, expiredAt: Number.POSITIVE_INFINITY });
  }

  /** Records that a node's record was removed. */
  noteExpired(node: string, now: Milliseconds): void {
    const nodeFormat = this.nodes.get(node);
    if (nodeFormat !== undefined) nodeFormat.expiredAt = now;
  }

  /** Records that all live nodes are known. */
  noteListed(): void {
    this.isListed = true;
  }

  /**
   * Whether every node that may be running reads a format; `false` before all live nodes are known.
   */
  isReadByAll(format: FormatVersion, now: Milliseconds): boolean {
    if (!this.isListed) return false;
    return [...this.nodes.values()].every(
      (nodeFormat) =>
        nodeFormat.format >= format || now - nodeFormat.expiredAt > EXPIRED_NODE_RETENTION,
    );
  }
}
