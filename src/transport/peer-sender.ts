/**
 * Sends what waits for one peer: batches over kept-alive HTTP connections, with few requests
 * under way and a time limit for each. A batch whose request fails is dropped and counted.
 */
import { type Agent, type IncomingMessage, request } from 'node:http';
import { HTTP_STATUS } from '../core/http-status.js';
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { PeerMessage } from '../node/peer-message.js';
import { encodeEnvelope } from './peer-envelope.js';
import { type MessageBatch, PeerOutbox } from './peer-outbox.js';
import { PEER_TOKEN_HEADER } from './peer-token.js';
import type { TransportLimits, TransportStats } from './transport-options.js';

/** Path of the node-to-node endpoint. */
export const PEER_PATH = '/v1/peer';

/** Status of an accepted batch. */
export const BATCH_ACCEPTED_STATUS = HTTP_STATUS.noContent;

/** What all senders of one transport share. */
export interface SenderEnvironment {
  readonly agent: Agent;
  readonly token: string;
  readonly limits: TransportLimits;
  readonly stats: TransportStats;
  /** This node as others shall know it. */
  self(): NodeRecord;
}

/** The sender to one address. */
export class PeerSender {
  readonly #environment: SenderEnvironment;
  readonly #address: { readonly host: string; readonly port: number };
  readonly #outbox: PeerOutbox;
  readonly #onIdle: () => void;
  #requests = 0;
  #batchTimer: NodeJS.Timeout | undefined;

  /** `onIdle` is called when nothing waits and no request is under way any more. */
  constructor(environment: SenderEnvironment, address: string, onIdle: () => void) {
    this.#environment = environment;
    this.#address = splitAddress(address);
    this.#outbox = new PeerOutbox(environment.limits);
    this.#onIdle = onIdle;
  }

  /** Queues a message. */
  send(to: NodeIdentity | null, message: PeerMessage): void {
    this.#environment.stats.droppedOutboxFull += this.#outbox.add(to, message);
    this.#batchTimer ??= setTimeout(() => this.#flush(), this.#environment.limits.batchDelay);
  }

  /** Drops what waits. */
  stop(): void {
    clearTimeout(this.#batchTimer);
    this.#environment.stats.droppedRequestFailed += this.#outbox.clear();
  }

  #flush(): void {
    this.#batchTimer = undefined;
    while (this.#requests < this.#environment.limits.maxRequestsPerPeer) {
      const batch = this.#outbox.takeBatch();
      if (batch === undefined) break;
      this.#post(batch);
    }
  }

  #post(batch: MessageBatch): void {
    const { agent, token, limits, self } = this.#environment;
    const body = Buffer.from(encodeEnvelope({ from: self(), ...batch }));
    this.#requests += 1;
    const headers = {
      [PEER_TOKEN_HEADER]: token,
      'content-type': 'application/json',
      'content-length': body.length,
    };
    const post = request({ ...this.#address, agent, method: 'POST', path: PEER_PATH, headers });
    const timer = setTimeout(() => post.destroy(), limits.requestTimeout);
    let accepted = false;
    post.on('response', (response: IncomingMessage) => {
      accepted = response.statusCode === BATCH_ACCEPTED_STATUS;
      response.on('error', () => undefined).resume();
    });
    post.on('error', () => undefined);
    post.on('close', () => {
      clearTimeout(timer);
      this.#settle(batch, body.length, accepted);
    });
    post.end(body);
  }

  #settle(batch: MessageBatch, bytes: number, accepted: boolean): void {
    const { stats } = this.#environment;
    this.#requests -= 1;
    if (accepted) {
      stats.batchesSent += 1;
      stats.messagesSent += batch.messages.length;
      stats.bytesSent += bytes;
    } else {
      stats.droppedRequestFailed += batch.messages.length;
    }
    if (this.#batchTimer === undefined) this.#flush();
    if (this.#requests === 0 && this.#outbox.isEmpty) this.#onIdle();
  }
}

function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
