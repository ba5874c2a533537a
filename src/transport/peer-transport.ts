/**
 * Node-to-node messages over kept-alive HTTP. Delivery is best effort and may change the order:
 * the protocols above tolerate loss, repetition and reordering.
 */
import { Agent, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { type Observable, Subject } from 'rxjs';
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { PeerMessage } from '../node/peer-message.js';
import type { PeerEnvelope } from './peer-envelope.js';
import { createPeerServer } from './peer-receiver.js';
import { PeerSender, type SenderEnvironment } from './peer-sender.js';
import {
  DEFAULT_TRANSPORT_LIMITS,
  emptyTransportStats,
  type TransportLimits,
  type TransportOptions,
  type TransportStats,
} from './transport-options.js';

/** One message as it arrived. */
export interface ReceivedMessage {
  readonly from: NodeRecord;
  /** The life the sender meant; `null` where it knew an address only. */
  readonly to: NodeIdentity | null;
  readonly message: PeerMessage;
}

/** Sends and receives messages between nodes. */
export class PeerTransport {
  readonly #options: TransportOptions;
  readonly #stats = emptyTransportStats();
  readonly #agent: Agent;
  readonly #server: Server;
  readonly #environment: SenderEnvironment;
  readonly #senders = new Map<string, PeerSender>();
  readonly #received = new Subject<ReceivedMessage>();
  #self: NodeRecord;
  #stopped = false;

  constructor(options: TransportOptions) {
    const limits: TransportLimits = { ...DEFAULT_TRANSPORT_LIMITS, ...options };
    this.#options = options;
    this.#self = options.self;
    this.#agent = new Agent({ keepAlive: true, timeout: limits.idleTimeout });
    this.#server = createPeerServer(options.token, limits, this.#stats, (envelope) =>
      this.#accept(envelope),
    );
    this.#environment = {
      agent: this.#agent,
      token: options.token,
      limits,
      stats: this.#stats,
      self: () => this.#self,
    };
  }

  /** Messages of peers that know the token; completes on {@link stop}. */
  get received(): Observable<ReceivedMessage> {
    return this.#received.asObservable();
  }

  /** Starts listening and gives the address; rejects where the port cannot be had. */
  async start(): Promise<{ readonly address: string }> {
    const { host, port } = this.#options.listen;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    const actual = this.#server.address() as AddressInfo;
    const address = `${host}:${actual.port}`;
    if (this.#self.address.endsWith(':0')) this.#self = { ...this.#self, address };
    return { address };
  }

  /**
   * Hands over a message; a copy is sent within the batch delay. Throws a `TypeError` for a message
   * that is not plain data.
   */
  send(to: NodeIdentity | null, address: string, message: PeerMessage): void {
    if (this.#stopped) return;
    this.#senderTo(address).send(to, message);
  }

  /** Stops listening and sending; what waits is dropped. */
  async stop(): Promise<void> {
    this.#stopped = true;
    for (const sender of this.#senders.values()) sender.stop();
    this.#agent.destroy();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
    this.#received.complete();
  }

  /** Counters since the start. */
  stats(): Readonly<TransportStats> {
    return { ...this.#stats };
  }

  #senderTo(address: string): PeerSender {
    const known = this.#senders.get(address);
    if (known !== undefined) return known;
    const sender = new PeerSender(this.#environment, address, () => this.#senders.delete(address));
    this.#senders.set(address, sender);
    return sender;
  }

  #accept(envelope: PeerEnvelope): void {
    const { from, to, messages } = envelope;
    for (const message of messages) this.#received.next({ from, to, message });
  }
}
