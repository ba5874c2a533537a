/**
 * Kinds of questions that a node of an older build does not know. A life of a process has connections
 * of its own, so what it told holds while the connection is open over which it told it; after that
 * the question is asked once more.
 */
import type { Socket } from 'node:net';

/** What some nodes do not know. */
export class UnsupportedKinds {
  private readonly kinds = new Map<string, Set<string>>();

  /** Whether the process at an address told that it does not know a kind. */
  has(address: string, kind: string): boolean {
    return this.kinds.get(address)?.has(kind) ?? false;
  }

  /** The process at an address does not know a kind, as it told over a connection. */
  note(address: string, kind: string, connection: Socket): void {
    if (connection.destroyed) return;
    const known = this.kinds.get(address) ?? new Set();
    this.kinds.set(address, known.add(kind));
    connection.once('close', () => {
      known.delete(kind);
      if (known.size === 0) this.kinds.delete(address);
    });
  }
}
