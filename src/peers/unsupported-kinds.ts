/**
 * Remembers which kinds of requests the nodes of older builds do not support. An entry is valid while
 * the connection over which the node reported it is open, since a restarted process may run a newer
 * build.
 */
import type { Socket } from 'node:net';

/** Unsupported kinds by address. */
export class UnsupportedKinds {
  private readonly kinds = new Map<string, Set<string>>();

  /** Whether the process at an address is known not to support a kind. */
  has(address: string, kind: string): boolean {
    return this.kinds.get(address)?.has(kind) ?? false;
  }

  /** Records an unsupported kind until the connection closes. */
  note(address: string, kind: string, connection: Socket): void {
    if (connection.destroyed) return;
    const unsupportedKinds = this.kinds.get(address) ?? new Set();
    this.kinds.set(address, unsupportedKinds.add(kind));
    connection.once('close', () => {
      unsupportedKinds.delete(kind);
      if (unsupportedKinds.size === 0) this.kinds.delete(address);
    });
  }
}
