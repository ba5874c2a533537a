/** One address of the platform's store. It may turn its callers away while other doors are open. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { callKindOf, type StoreCallKind } from './store-call-kinds.js';

/** How callers are turned away. */
export type DoorRefusal = 'unavailable' | 'throttled';

/** How calls of one kind are kept from their answers. */
export type PartialRefusal = 'held' | 'unavailable';

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
  private readonly keptBack: { readonly kind: StoreCallKind; readonly refusal: PartialRefusal }[] =
    [];
  /** Share of the commits that are carried out late and left without an answer. */
  lateShare = 0;

  /** `noteKeptBack` is called with each call that is kept from its answer while others are served. */
  constructor(
    private readonly store: StoreBehindDoor,
    private readonly noteKeptBack: (url: string, refusal: PartialRefusal) => void = () => {},
  ) {
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

  /**
   * Keeps calls of one kind from their answers, those that wait too, and serves the others; the
   * function that it gives ends that. Calls that were held stay without an answer.
   */
  keepBack(kind: StoreCallKind, refusal: PartialRefusal): () => void {
    const entry = { kind, refusal };
    this.keptBack.push(entry);
    return () => {
      this.keptBack.splice(this.keptBack.indexOf(entry), 1);
    };
  }

  /** Whether a call must not get its answer now; it is then refused or held here. */
  keepsBack(request: http.IncomingMessage, response: http.ServerResponse): boolean {
    const kind = callKindOf(request.url ?? '');
    const entry = this.keptBack.find((one) => one.kind === kind);
    if (entry === undefined) return false;
    this.noteKeptBack(request.url ?? '', entry.refusal);
    if (entry.refusal === 'unavailable') refuse(response, 'unavailable');
    return true;
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
    if (this.refusal !== undefined) {
      request.resume();
      refuse(response, this.refusal);
    } else if (this.keepsBack(request, response)) request.resume();
    else this.store.serve(request, response);
  }
}

function refuse(response: http.ServerResponse, refusal: DoorRefusal): void {
  response.writeHead(REFUSAL_STATUS[refusal], { 'content-type': 'application/json' });
  response.end('{}');
}
