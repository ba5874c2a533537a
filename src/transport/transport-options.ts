/**
 * Options and counters of the node-to-node transport.
 */
import type { NodeRecord } from '../core/identity.js';
import { MEBIBYTE, type Milliseconds } from '../core/units.js';

/** Bounds of the transport; all have defaults. */
export interface TransportLimits {
  /**
   * How long a message waits for others to the same peer.
   * @default 2 ms
   */
  readonly batchDelay: Milliseconds;
  /**
   * Estimated bytes after which a batch takes no further message; one larger message travels alone.
   * @default 1 MiB
   */
  readonly maxBatchBytes: number;
  /**
   * Messages waiting for one peer; the oldest are dropped beyond it.
   * @default 16,384
   */
  readonly maxOutboxMessages: number;
  /**
   * Estimated bytes waiting for one peer; the oldest messages are dropped beyond it.
   * @default 64 MiB
   */
  readonly maxOutboxBytes: number;
  /**
   * Requests under way to one peer.
   * @default 2
   */
  readonly maxRequestsPerPeer: number;
  /**
   * Time for one request, connecting included.
   * @default 2 s
   */
  readonly requestTimeout: Milliseconds;
  /**
   * Largest body accepted from a peer.
   * @default 72 MiB, an outbox with its envelope
   */
  readonly maxBodyBytes: number;
  /**
   * Time for a peer to send one body.
   * @default 10 s
   */
  readonly bodyTimeout: Milliseconds;
  /**
   * Incoming connections at once; more are refused.
   * @default 8,192
   */
  readonly maxConnections: number;
  /**
   * How long an outgoing connection without traffic stays open.
   * @default 20 s
   */
  readonly idleTimeout: Milliseconds;
}

/** What a transport needs to know. */
export interface TransportOptions extends Partial<TransportLimits> {
  /** This node; a port of 0 in its address is replaced by the port listened on. */
  readonly self: NodeRecord;
  readonly listen: { readonly host: string; readonly port: number };
  /** Secret shared by all nodes of a deployment. */
  readonly token: string;
}

/** Limits used where the options name none. */
export const DEFAULT_TRANSPORT_LIMITS: TransportLimits = {
  batchDelay: 2,
  maxBatchBytes: MEBIBYTE,
  maxOutboxMessages: 16_384,
  maxOutboxBytes: 64 * MEBIBYTE,
  maxRequestsPerPeer: 2,
  requestTimeout: 2_000,
  maxBodyBytes: 72 * MEBIBYTE,
  bodyTimeout: 10_000,
  maxConnections: 8_192,
  idleTimeout: 20_000,
};

/** Counters since the start of the process. */
export interface TransportStats {
  messagesSent: number;
  batchesSent: number;
  bytesSent: number;
  messagesReceived: number;
  batchesReceived: number;
  bytesReceived: number;
  /** Messages dropped because a peer's outbox was full. */
  droppedOutboxFull: number;
  /** Messages dropped because their request failed, was refused or timed out. */
  droppedRequestFailed: number;
  /** Requests refused for a wrong token. */
  refusedToken: number;
  /** Requests refused because their body was too large, too slow or not an envelope. */
  refusedBody: number;
}

/** Counters at zero. */
export function emptyTransportStats(): TransportStats {
  return {
    messagesSent: 0,
    batchesSent: 0,
    bytesSent: 0,
    messagesReceived: 0,
    batchesReceived: 0,
    bytesReceived: 0,
    droppedOutboxFull: 0,
    droppedRequestFailed: 0,
    refusedToken: 0,
    refusedBody: 0,
  };
}
