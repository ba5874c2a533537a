/** One address of the platform's store. It may turn its callers away while other doors are open. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** How callers are turned away. */
export type DoorRefusal = 'unavailable' | 'throttled';

const REFUSAL_STATUS: Readonly<Record<DoorRefusal, number>> = { unavailable: 503, throttled: 429 };

/** The store behind a door. */
export interface StoreBehindDoor {
  serve(request: http.IncomingMessage, response: http.ServerResponse): void;
  /** Ends a lease at once, with its keys. */
  revoke(lease: number): void;
}

/** A door on loopback. */
export class StoreDoor {
  private readonly server: http.Server;
  private readonly leases = new Set<number>();
  private refusal: DoorRefusal | undefined;
  /** Share of the commits that are carried out late and left without an answer. */
  lateShare = 0;

  constructor(private readonly store: StoreBehindDoor) {
    this.server = http.createServer((request, response) => this.admit(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  /** Resolves when callers can connect. */
  listen(): Promise<void> {
    return new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
  }

  /** Host and port. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Turns callers away from now on, those that wait too; `undefined` serves them again. */
  refuse(refusal: DoorRefusal | undefined): void {
    const closes = this.refusal === undefined && refusal !== undefined;
    this.refusal = refusal;
    if (closes) this.server.closeAllConnections();
  }

  /** Ends all leases that were granted here, and takes their keys away. */
  revokeKeys(): void {
    for (const lease of this.leases) this.store.revoke(lease);
    this.leases.clear();
  }

  /** A lease was granted to a caller of this door. */
  noteGranted(lease: number): void {
    this.leases.add(lease);
  }

  /** Ends all connections and listens no more. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private admit(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this.refusal === undefined) {
      this.store.serve(request, response);
      return;
    }
    request.resume();
    response.writeHead(REFUSAL_STATUS[this.refusal], { 'content-type': 'application/json' });
    response.end('{}');
  }
}
